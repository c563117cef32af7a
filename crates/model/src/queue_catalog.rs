//! Owns the catalog of queues: the queues, the services that run their tasks,
//! and the version.
//!
//! Invariant: the catalog with the highest version is in force.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, QueueId, ServiceId};
use crate::time_bounds::{scaled, span_sum};

/// Routing and limits of one queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Host name of the queue's HTTP requests.
    pub host: CompactString,
    /// Path prefix of the queue's HTTP requests.
    pub path_prefix: CompactString,
    /// Service whose backend servers run the queue's tasks.
    pub service: ServiceId,
    /// Priority among queues; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u32,
    /// Objective of a job, as a multiple of its critical path.
    #[serde(rename = "stretch")]
    pub critical_path_factor: f64,
    /// Constant part of the objective, added to the multiple, in milliseconds.
    #[serde(rename = "goal_ms")]
    pub base_objective_ms: u64,
    /// Longest duration of a call on this queue, in milliseconds.
    pub timeout_ms: u64,
}

impl QueueRule {
    /// Target time from acceptance to completion for a job with this critical
    /// path; at most [`crate::MAX_SPAN`].
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let base = Duration::from_millis(self.base_objective_ms);
        span_sum(scaled(critical_path, self.critical_path_factor), base)
    }
}

/// Rules of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Whether its backend servers enforce their capacity themselves and refuse
    /// runs that do not fit.
    #[serde(rename = "guards_room")]
    pub enforces_capacity: bool,
}

/// The complete configuration of queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueCatalog {
    /// Version of the catalog; the highest is in force.
    pub version: ConfigVersion,
    /// Queues by name.
    pub queues: IndexMap<QueueId, QueueRule>,
    /// Services by name.
    pub services: IndexMap<ServiceId, ServiceRule>,
    /// Largest body of a client's request, in bytes.
    pub body_limit_bytes: u64,
    /// Limits of clients' requests that the operator has set.
    #[serde(default, skip_serializing_if = "RequestLimits::is_unset")]
    pub request_limits: RequestLimits,
    /// The operator's original document, unchanged.
    pub document: String,
}

/// A configuration of queues as it was decoded, before it is checked: names may repeat, and a
/// queue may refer to a service that is not defined.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogDraft {
    /// Version of the catalog.
    pub version: ConfigVersion,
    /// Queues, in the order of the document.
    pub queues: Vec<(QueueId, QueueRule)>,
    /// Services, in the order of the document.
    pub services: Vec<(ServiceId, ServiceRule)>,
    /// Largest body of a client's request, in bytes.
    pub body_limit_bytes: u64,
    /// Limits of clients' requests that the operator has set.
    pub request_limits: RequestLimits,
    /// The operator's original document, unchanged.
    pub document: String,
}

impl From<CatalogDraft> for QueueCatalog {
    /// Of entries with the same name the last one is kept.
    fn from(draft: CatalogDraft) -> QueueCatalog {
        QueueCatalog {
            version: draft.version,
            queues: draft.queues.into_iter().collect(),
            services: draft.services.into_iter().collect(),
            body_limit_bytes: draft.body_limit_bytes,
            request_limits: draft.request_limits,
            document: draft.document,
        }
    }
}

/// Limits of clients' requests beside the one of their bodies; `None` where the operator has
/// set none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_header_bytes: Option<u64>,
    /// Time in which the head of a request has to arrive, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header_timeout_ms: Option<u64>,
    /// Time for which a connection without a request is kept, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_timeout_ms: Option<u64>,
}

impl RequestLimits {
    /// Whether the operator has set none of them.
    pub fn is_unset(&self) -> bool {
        *self == RequestLimits::default()
    }
}
