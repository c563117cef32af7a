//! Owns the catalog: which queues there are, which services their tasks run
//! on, and the version that says which catalog is newest.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, QueueId, ServiceId};

/// One queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Host name under which callers reach it.
    pub host: CompactString,
    /// Start of the paths under which callers reach it.
    pub path_prefix: CompactString,
    /// The service whose backend servers run its tasks.
    pub service: ServiceId,
    /// Rank among queues; 0 comes first.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub most_attempts: u32,
    /// Objective of a job, as a multiple of its longest chain of work.
    pub stretch: f64,
    /// What a job's objective has besides, in milliseconds.
    pub goal_ms: u64,
    /// How long a call on this queue may take, in milliseconds.
    pub timeout_ms: u64,
}

impl QueueRule {
    /// Time within which a job is best completed, from its acceptance.
    pub fn objective(&self, longest_chain: Duration) -> Duration {
        longest_chain.mul_f64(self.stretch) + Duration::from_millis(self.goal_ms)
    }
}

/// One service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Whether its backend servers themselves refuse what doesn't fit.
    pub guards_room: bool,
}

/// A whole configuration of queues and services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueCatalog {
    /// The highest version is in force.
    pub version: ConfigVersion,
    /// Queues by name.
    pub queues: IndexMap<QueueId, QueueRule>,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceRule>,
    /// Largest body of a caller's request, in bytes.
    pub body_limit_bytes: u64,
    /// The document that it was read from, as the operator sent it.
    pub document: String,
}
