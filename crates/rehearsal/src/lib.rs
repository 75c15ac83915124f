//! The rehearsal tool: demo, load, recording, replay and scale runs.
