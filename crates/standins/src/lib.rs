//! Stand-ins of the platform's services for tests and the demo, as separate processes.
