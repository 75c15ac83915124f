//! The operators' configuration: generations, acceptance and spreading, without I/O.
