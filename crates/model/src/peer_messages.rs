//! Owns what entries and agents say to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::{AttemptId, Incarnation, NodeId};
use crate::work::{TaskFate, TaskKey};

/// A question about one task: did you start it? The agent's answer "not
/// started" binds it: it will refuse this attempt and all earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskQuestion {
    /// The task.
    pub key: TaskKey,
    /// The attempt up to which the answer binds.
    pub attempt: AttemptId,
}

/// Takes tasks back that have not started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallOrder {
    /// The tasks.
    pub questions: Vec<TaskQuestion>,
    /// Whether running ones are stopped.
    pub stop_running: bool,
}

/// A recalled task's fate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallFate {
    /// The task and attempt asked about.
    pub question: TaskQuestion,
    /// What the agent knows.
    pub fate: TaskFate,
}

/// An agent's answer to a recall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallAnswer {
    /// The agent's incarnation: it knows nothing of what an earlier one did.
    pub incarnation: Incarnation,
    /// Each task's fate.
    pub fates: Vec<RecallFate>,
}

/// An agent's answer to a start or attach call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub key: TaskKey,
    /// The attempt that was asked about.
    pub attempt: AttemptId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// What became of the task.
    pub fate: TaskFate,
    /// Tasks of the service running there now.
    pub running: u32,
    /// Tasks of the service queued there now.
    pub queued: u32,
}

/// An entry's question to an agent for news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentWatch {
    /// Who asks.
    pub entry: NodeId,
    /// View version known there; 0 for none.
    pub version: u64,
    /// How long the agent may wait for news, in milliseconds.
    pub wait_ms: u64,
}
