//! The operators' configuration over real daemons: acceptance, spreading, restarts, engines that
//! leave, orders and limits.

mod acceptance;
mod drains;
mod engines;
mod limits;
mod restarts;
mod support;
