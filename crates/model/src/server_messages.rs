//! Owns the protocol between an agent and its backend server, and the messages
//! of the agent's duties that use it.
//!
//! Invariant: times of the backend server's clock are durations since the start
//! of that clock; they are never compared with times of this host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kernel::Reservation;

use crate::ids::{CallId, EndNumber, FenceNumber, LifeId, SessionId};
use crate::queue_jobs::{EndKind, TaskRun};
use crate::schedule_messages::{
    AgentOrders, AgentReport, EntryHost, SchedulerKey, ServerView, StartRefusal,
};

/// A backend server's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerHeartbeat {
    /// Capacity and state that the server reports.
    pub view: ServerView,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Name of the instance that this is a life of; calls to it carry the name.
    pub instance: crate::ids::LifeId,
    /// Generation of this life; a later life of the instance has a higher one.
    pub generation: u64,
    /// Sequence number, increasing with each heartbeat of a life; late
    /// heartbeats are ignored.
    pub sequence: u64,
    /// Reading of the backend server's clock, if it reports one.
    pub clock: Option<Duration>,
}

/// Name of a life of an instance. `generation` orders the lives of the instance.
pub fn life_id(instance: &LifeId, generation: u64) -> LifeId {
    compact_str::format_compact!("{instance}/{generation}")
}

/// A call to the backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerCall {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Life that the call is valid for.
    pub life: LifeId,
    /// Name of the instance that this is a life of, sent with the call.
    pub instance: LifeId,
    /// Fencing token; the server refuses a lower one than it has seen.
    pub fence: FenceNumber,
    /// Time on the backend server's clock until which its runs may execute.
    pub lease_until: Option<Duration>,
    /// The same time on the agent's clock. A start isn't sent later.
    pub valid_until: Option<Instant>,
    /// The requested operation.
    pub request: ServerRequest,
}

/// An operation requested of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerRequest {
    /// Starts a run.
    Start {
        /// The run to start.
        run: TaskRun,
        /// The job's specification, passed unchanged.
        spec: std::sync::Arc<str>,
    },
    /// Stops a run, or bars it from starting if it has not started.
    Stop {
        /// The run to stop.
        run: TaskRun,
    },
    /// Renews the lease, and lists running and ended runs.
    RenewLease {
        /// Sequence number of the renewal within the life. The effect of calls
        /// sent before a renewal is visible in its lists.
        sequence: u64,
        /// Cumulative acknowledgement: ended runs up to this position may be
        /// forgotten.
        acked: EndNumber,
        /// How long the server may delay its reply until a run ends (long
        /// poll).
        wait: Duration,
    },
}

/// An entry in the backend server's list of ended runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// Position in the list, from 1.
    pub number: EndNumber,
    /// The ended run.
    pub run: TaskRun,
    /// How it ended.
    pub kind: EndKind,
}

/// The result of a call to the backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerAnswer {
    /// The request was carried out.
    Done,
    /// The lists that a lease renewal returns.
    Lists {
        /// Runs that are executing.
        running: Vec<TaskRun>,
        /// Ended runs that the server has not yet forgotten.
        ended: Vec<ListedEnd>,
    },
    /// The lists that a lease renewal returns, without the rows that could not be
    /// decoded. What they don't show may still be there.
    PartialLists {
        /// Runs that are executing, as far as they could be decoded.
        running: Vec<TaskRun>,
        /// Ended runs that the server has not yet forgotten, as far as they could be
        /// decoded.
        ended: Vec<ListedEnd>,
    },
    /// The request was refused and had no effect.
    Refused(StartRefusal),
    /// The start was not sent, so it has no effect. Says nothing of the server.
    NotSent,
    /// The connection was refused, so the call has no effect: no process listens at the
    /// server's address.
    ConnectionRefused,
    /// Outcome unknown: the call may have taken effect, or may still do so.
    NoAnswer,
}

/// An event on an agent's connection to a scheduler.
#[derive(Debug)]
pub enum ScheduleEvent {
    /// The connection was opened.
    Opened,
    /// The scheduler sent orders, or acknowledged messages.
    Orders {
        /// Time at which the latest acknowledged message was sent, from which the
        /// grant counts.
        sent_at: Instant,
        /// Number of reports that are acknowledged for the first time.
        acked_reports: usize,
        /// The orders, with the execution grant and the acknowledged ends.
        orders: Box<AgentOrders>,
    },
    /// The connection was closed.
    Closed,
}

/// Messages to the duty that manages the runs on an agent's backend server.
#[derive(Debug)]
pub enum ServerRunsMessage {
    /// A heartbeat of the backend server.
    Heartbeat {
        /// Echoed in the reply.
        call: CallId,
        /// The decoded heartbeat.
        heartbeat: Box<ServerHeartbeat>,
        /// Ring slot reserved for the acknowledgement.
        reply: Reservation<ServerFrontMessage>,
    },
    /// The backend server announced that it is shutting down.
    Leave {
        /// Echoed in the reply.
        call: CallId,
        /// Instance name of the life that ends.
        instance: LifeId,
        /// Ring slot reserved for the acknowledgement.
        reply: Reservation<ServerFrontMessage>,
    },
    /// A call to the backend server ended.
    Answer {
        /// The call that ended.
        call: Box<ServerCall>,
        /// The backend server's clock reading in its reply, with the local time
        /// at which the reply arrived.
        clock: Option<(Duration, Instant)>,
        /// Generation of the life that replied, if the reply names it.
        generation: Option<u64>,
        /// Result of the call.
        answer: ServerAnswer,
    },
    /// An event on the connection to a scheduler.
    Schedule {
        /// The scheduler at the other end.
        scheduler: SchedulerKey,
        /// Id of the connection.
        session: SessionId,
        /// The observed event.
        event: ScheduleEvent,
    },
}

/// Messages to the agent's HTTP server and client for its backend server.
#[derive(Debug)]
pub enum ServerFrontMessage {
    /// Calls the backend server.
    Call {
        /// The call to send.
        call: Box<ServerCall>,
        /// Ring slot reserved for the result.
        done: Reservation<ServerRunsMessage>,
    },
    /// Acknowledges a heartbeat or a leave notice.
    Acknowledge {
        /// The acknowledged call.
        call: CallId,
    },
}

/// Messages to an agent's connections to schedulers.
#[derive(Debug)]
pub enum ScheduleLinkMessage {
    /// Sends a report.
    Report {
        /// The receiving scheduler.
        scheduler: SchedulerKey,
        /// The report to send.
        report: Box<AgentReport>,
    },
    /// Sets how often heartbeats are sent to a scheduler.
    SetActive {
        /// The receiving scheduler.
        scheduler: SchedulerKey,
        /// Whether the agent has runs that need the scheduler's grant.
        is_active: bool,
    },
    /// Sets the entries to connect to as schedulers.
    Entries {
        /// The complete list.
        entries: Vec<EntryHost>,
    },
}
