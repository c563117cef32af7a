//! Owns the messages between the services of an agent, and what backend
//! servers announce.
//!
//! Invariant: every message that asks for an answer carries the reserved room
//! for it, so that an answer is never refused by a full ring.

use compact_str::CompactString;
use indexmap::IndexMap;
use kernel::Reservation;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::cluster::{AgentView, ConfigInForce};
use crate::control_messages::LeaseState;
use crate::ids::{CallId, Incarnation, NodeId, ServiceId};
use crate::payload::Payload;
use crate::peer_messages::{AgentWatch, RecallAnswer, RecallOrder, TaskQuestion, TaskReport};
use crate::work::{StartOrder, TaskKey, TaskOutcome};

/// Messages to an agent's start service.
#[derive(Debug)]
pub enum StartMessage {
    /// A start order.
    Order {
        /// The call.
        call: CallId,
        /// The order.
        order: Box<StartOrder>,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// A question after a task.
    Attach {
        /// The call.
        call: CallId,
        /// The question.
        question: TaskQuestion,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// A recall.
    Recall {
        /// The call.
        call: CallId,
        /// The order.
        order: RecallOrder,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// A question for news.
    Watch {
        /// The call.
        call: CallId,
        /// The question.
        watch: AgentWatch,
        /// Room for the answer.
        reply: Reservation<AgentReply>,
    },
    /// The caller of an earlier message has gone.
    CallDropped {
        /// The call.
        call: CallId,
    },
    /// A backend server announced itself.
    Announced {
        /// The announcement.
        announcement: Announcement,
    },
    /// A backend server says that it leaves.
    Leaving {
        /// Its address.
        address: SocketAddr,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        key: TaskKey,
        /// Where it ran.
        address: SocketAddr,
        /// How it ended.
        end: RunEnd,
    },
    /// The lease at control.
    Lease {
        /// What became of it.
        state: LeaseState,
    },
    /// Fences, and whether this worker is drained.
    Fences {
        /// Highest fenced incarnation of each entry.
        fences: IndexMap<NodeId, Incarnation>,
    },
    /// A configuration came into force.
    Config {
        /// The configuration.
        config: Arc<ConfigInForce>,
    },
    /// The process drains.
    Drain,
}

/// How a run at a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The outcome is known or unknown, but it may have run.
    Outcome(TaskOutcome),
    /// The backend server was never reached.
    NeverSent {
        /// What was seen.
        reason: CompactString,
    },
}

/// An answer on its way to the agent's edge.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentReply {
    /// The call.
    pub call: CallId,
    /// The answer.
    pub answer: AgentAnswer,
}

/// What an agent answers.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAnswer {
    /// To a start order or a question.
    Report(TaskReport),
    /// To a recall.
    Fates(RecallAnswer),
    /// To a question for news.
    View(AgentView),
}

/// A backend server's announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it runs.
    pub service: ServiceId,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Tasks that it runs at a time.
    pub slots: u32,
    /// Connections that it takes at a time.
    pub connections: u32,
}

/// A backend server's word that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveNotice {
    /// Its HTTP address.
    pub address: SocketAddr,
}

/// Messages to the backend servers' edge.
#[derive(Debug)]
pub enum BackendMessage {
    /// Runs a task.
    Run {
        /// At which backend server.
        address: SocketAddr,
        /// The service.
        service: ServiceId,
        /// The task.
        key: TaskKey,
        /// Time left.
        left: Duration,
        /// The input.
        payload: Payload,
        /// Room for the end of the run.
        done: Reservation<StartMessage>,
    },
    /// Stops a running task.
    Stop {
        /// The task.
        key: TaskKey,
    },
}
