//! Data that every part shares: ids, work, messages, error kinds with their
//! answers, settings and the operators' text.
//!
//! Invariants:
//! - no I/O, threads or clocks here;
//! - a message is decoded before a decision sees it; a decision never sees
//!   bytes of the wire;
//! - settings and texts are used only after every check has passed.

mod cluster;
mod command;
mod counters;
mod error;
mod event_log;
mod ids;
mod messages;
mod payload;
mod replica;
mod schema;
mod settings;
mod text;
mod text_delta;
mod waste;
mod work;

pub use cluster::*;
pub use command::*;
pub use counters::*;
pub use error::*;
pub use event_log::*;
pub use ids::*;
pub use messages::*;
pub use payload::*;
pub use replica::*;
pub use schema::*;
pub use settings::*;
pub use text::*;
pub use text_delta::*;
pub use waste::*;
pub use work::*;
