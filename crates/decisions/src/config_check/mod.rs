//! Decides what is wrong with a configuration, and what differs from another one.
//!
//! Faults make a configuration invalid; control refuses it. Warnings name what has no effect
//! or contradicts something else, and change no decision at control.
//!
//! Invariants:
//! - control and the operators' command line use the same faults, in the same order;
//! - a warning that a queue can't be reached holds for every request with a valid host name.

mod catalog_changes;
mod catalog_faults;
mod catalog_warnings;
mod queue_reach;
mod text_warnings;

pub use catalog_changes::{CatalogChange, catalog_changes};
pub use catalog_faults::{CatalogFault, catalog_faults};
pub use catalog_warnings::{CatalogWarning, CheckedLimits, catalog_warnings};
pub use queue_reach::{QueueReach, queue_reach};
pub use text_warnings::{TextWarning, text_warnings};

/// A field of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QueueField {
    /// Its name.
    Name,
    /// Host name of its requests.
    Host,
    /// Path prefix of its requests.
    PathPrefix,
    /// The service that runs its tasks.
    Service,
    /// Its priority.
    Priority,
    /// Failed runs of a task after which its job fails.
    MaxAttempts,
    /// Factor on the critical path in a job's objective.
    CriticalPathFactor,
    /// Constant part of a job's objective.
    BaseObjective,
    /// Longest duration of a call.
    Timeout,
}

/// A limit that holds for all queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitField {
    /// Largest body of a request.
    Body,
    /// Largest head of a request.
    Header,
    /// Time in which the head of a request has to arrive.
    HeaderTimeout,
    /// Time for which a connection without a request is kept.
    IdleTimeout,
}

/// Location of a value in a configuration of queues; positions count from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CatalogPlace {
    /// The version.
    Version,
    /// A field of the queue at this position.
    Queue(usize, QueueField),
    /// The name of the service at this position.
    Service(usize),
    /// A limit.
    Limit(LimitField),
}
