//! The callers' and operators' interfaces: schema, generated code, typed errors.
