//! Owns the protocol between entries and agents.
//!
//! Invariant: an agent that reports a task as not started will refuse the
//! queried attempt and all lower ones.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::{AttemptId, Incarnation, NodeId};
use crate::work::{TaskKey, TaskStatus};

/// Queries the status of one task. The reply "not started" binds the agent: it
/// will refuse this attempt and all lower ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskQuery {
    /// The queried task.
    pub key: TaskKey,
    /// Highest attempt that the reply binds.
    pub attempt: AttemptId,
}

/// Recalls tasks that have not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallOrder {
    /// The tasks to recall, with their attempts.
    #[serde(rename = "questions")]
    pub queries: Vec<TaskQuery>,
    /// Whether tasks that are already running are stopped.
    pub stop_running: bool,
}

/// Status of one recalled task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallStatus {
    /// The recalled task and attempt.
    #[serde(rename = "question")]
    pub query: TaskQuery,
    /// Its status at the agent.
    #[serde(rename = "fate")]
    pub status: TaskStatus,
}

/// An agent's reply to a recall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallAnswer {
    /// The agent's incarnation; it has no memory of what an earlier one did.
    pub incarnation: Incarnation,
    /// Status of each recalled task.
    #[serde(rename = "fates")]
    pub statuses: Vec<RecallStatus>,
}

/// An agent's reply to a start or attach call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task that the call was about.
    pub key: TaskKey,
    /// Attempt that the call carried.
    pub attempt: AttemptId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The task's status at the agent.
    #[serde(rename = "fate")]
    pub status: TaskStatus,
    /// Number of tasks of the service running there now.
    pub running: u32,
    /// Number of tasks of the service queued there now.
    pub queued: u32,
}

/// An entry's long poll for changes of an agent's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentWatch {
    /// The polling entry.
    pub entry: NodeId,
    /// View version that the entry has; 0 for none.
    pub version: u64,
    /// Longest time that the agent may delay its reply, in milliseconds.
    pub wait_ms: u64,
}
