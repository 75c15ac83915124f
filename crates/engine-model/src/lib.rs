//! A model of an engine that batches continuously and caches prefixes in limited memory, without I/O.
