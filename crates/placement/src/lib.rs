//! Where a call runs, when it waits, and what stays in engines' caches, as state machines without I/O.
