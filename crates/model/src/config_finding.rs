//! Owns the form in which a check of a configuration reports what it has found.

use serde::Serialize;
use strum::Display;

use crate::schema::ValidationError;

/// Whether a finding makes a configuration invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FindingSeverity {
    /// The configuration is invalid, and control refuses it.
    Error,
    /// The configuration is usable, but a part of it has no effect or contradicts another.
    Warning,
}

/// One finding of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConfigFinding {
    /// Whether it makes the configuration invalid.
    pub severity: FindingSeverity,
    /// Path of the value, such as `$.routes[2].timeout_ms`, or its line and column.
    pub place: String,
    /// What is wrong with it.
    pub message: String,
}

impl ConfigFinding {
    /// Creates an error.
    pub fn error(place: impl Into<String>, message: impl Into<String>) -> ConfigFinding {
        let severity = FindingSeverity::Error;
        ConfigFinding { severity, place: place.into(), message: message.into() }
    }

    /// Creates a warning.
    pub fn warning(place: impl Into<String>, message: impl Into<String>) -> ConfigFinding {
        let severity = FindingSeverity::Warning;
        ConfigFinding { severity, place: place.into(), message: message.into() }
    }

    /// Whether it makes the configuration invalid.
    pub fn is_error(&self) -> bool {
        self.severity == FindingSeverity::Error
    }
}

impl From<ValidationError> for ConfigFinding {
    fn from(error: ValidationError) -> ConfigFinding {
        ConfigFinding::error(error.path, error.expected)
    }
}
