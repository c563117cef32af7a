//! Owns how a duty ended that the kernel had not asked to end. What its state was worth
//! then is unknown, and the others wait for it in vain, so that the process has to end.

use std::any::Any;
use std::fmt::{Display, Formatter};

/// How a duty ended without being asked to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyEnd {
    /// It panicked.
    Panicked {
        /// The panic's message.
        message: String,
    },
    /// Its body returned while the process was running.
    Returned,
}

impl Display for DutyEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            DutyEnd::Panicked { message } => write!(f, "panicked: {message}"),
            DutyEnd::Returned => f.write_str("returned"),
        }
    }
}

/// A duty that ended without being asked to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyFailure {
    /// Name of the duty.
    pub duty: String,
    /// How it ended.
    pub end: DutyEnd,
}

/// The message of a panic, from what the panicking thread left.
pub fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "no message".to_owned())
}
