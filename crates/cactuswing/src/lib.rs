//! Assembles the roles from their services, and runs the command line and the
//! replay of recorded traces.

pub mod commands;
pub mod control_client;
pub mod examples;
pub mod replay;
pub mod roles;

mod cli;
mod report;

pub use cli::{ExitKind, run_command_line};
