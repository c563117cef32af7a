//! Owns the messages between the services of an agent, and the announcements of
//! backend servers.
//!
//! Invariant: every message that expects a reply carries a reserved ring slot
//! for it, so that a full ring never refuses a reply.

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
use crate::peer_messages::{AgentWatch, RecallAnswer, RecallOrder, TaskQuery, TaskReport};
use crate::work::{StartOrder, TaskKey, TaskOutcome};

/// Messages to an agent's task start service.
#[derive(Debug)]
pub enum StartMessage {
    /// An entry's start order.
    Order {
        /// Echoed in the reply.
        call: CallId,
        /// The task to start.
        order: Box<StartOrder>,
        /// Ring slot reserved for the reply.
        reply: Reservation<AgentReply>,
    },
    /// Waits for the end of a task that was started earlier.
    Attach {
        /// Echoed in the reply.
        call: CallId,
        /// The task and attempt to attach to.
        query: TaskQuery,
        /// Ring slot reserved for the reply.
        reply: Reservation<AgentReply>,
    },
    /// Recalls tasks.
    Recall {
        /// Echoed in the reply.
        call: CallId,
        /// The tasks to recall.
        order: RecallOrder,
        /// Ring slot reserved for the reply.
        reply: Reservation<AgentReply>,
    },
    /// An entry's long poll for changes of the worker's view.
    Watch {
        /// Echoed in the reply.
        call: CallId,
        /// The polling entry and the view version it has.
        watch: AgentWatch,
        /// Ring slot reserved for the reply.
        reply: Reservation<AgentReply>,
    },
    /// The caller of an earlier message disconnected.
    CallDropped {
        /// The abandoned call.
        call: CallId,
    },
    /// A backend server announced itself or renewed its announcement.
    Announced {
        /// Its service, address and slots.
        announcement: Announcement,
    },
    /// A backend server announced that it is shutting down.
    Leaving {
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// A run at a backend server ended.
    RunEnded {
        /// The task that ran.
        key: TaskKey,
        /// Address of the backend server.
        address: SocketAddr,
        /// How the run ended.
        end: RunEnd,
    },
    /// The state of this agent's lease at control changed.
    Lease {
        /// The new state.
        state: LeaseState,
    },
    /// The fences of entries changed.
    Fences {
        /// Highest fenced incarnation of each entry that has one.
        fences: IndexMap<NodeId, Incarnation>,
    },
    /// A configuration came into force.
    Config {
        /// The configuration now in force.
        config: Arc<ConfigInForce>,
    },
    /// The process is draining.
    Drain,
}

/// How a run at a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The backend server may have run the task; the outcome is known or
    /// unknown.
    Outcome(TaskOutcome),
    /// The call never reached the backend server, so the task did not run.
    NeverSent {
        /// The observed fault.
        reason: CompactString,
    },
}

/// A reply on its way to the agent's RPC server.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentReply {
    /// Call that the reply belongs to.
    pub call: CallId,
    /// The reply to encode.
    pub answer: AgentAnswer,
}

/// An agent's reply to an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAnswer {
    /// Reply to a start order or an attach query.
    Report(TaskReport),
    /// Reply to a recall.
    Statuses(RecallAnswer),
    /// Reply to a watch.
    View(AgentView),
}

/// A backend server's announcement, valid until its time to live has passed
/// without a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the server runs.
    pub service: ServiceId,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Number of tasks that it runs at a time.
    pub slots: u32,
    /// Number of connections that it accepts at a time.
    pub connections: u32,
}

/// A backend server's notice that it is shutting down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveNotice {
    /// Address of its HTTP server.
    pub address: SocketAddr,
}

/// Messages to the HTTP edge for backend servers.
#[derive(Debug)]
pub enum BackendMessage {
    /// Runs a task at a backend server.
    Run {
        /// Address of the backend server.
        address: SocketAddr,
        /// Service that runs the task.
        service: ServiceId,
        /// The task to run.
        key: TaskKey,
        /// Time remaining until the deadline.
        remaining: Duration,
        /// Input for the backend server.
        payload: Payload,
        /// Ring slot reserved for the end of the run.
        done: Reservation<StartMessage>,
    },
    /// Stops a running task.
    Stop {
        /// The task to stop.
        key: TaskKey,
    },
}
