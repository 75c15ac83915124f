//! Assembly of one daemon: sockets, timers, tasks, logs and metrics.
