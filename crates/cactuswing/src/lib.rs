//! The one binary's parts: roles, command line, traces and their replay.

pub mod commands;
pub mod control_client;
pub mod examples;
pub mod replay;
pub mod roles;

mod cli;
mod report;

pub use cli::{ExitKind, run_command_line};
