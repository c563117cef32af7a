//! All features' tests, one file each, in one program.

mod support;

mod bad_input;
mod graceful_drain;
mod job_path;
mod request_path;
mod ring_bounds;
mod settings_mistakes;
