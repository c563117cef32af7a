//! Owns what an agent and its backend server say to each other, and the
//! messages of the agent's duties.
//!
//! Invariant: times of the backend server's clock are durations since the
//! start of that clock; they never mix with times of this host.

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
pub struct ServerBeat {
    /// What it says of itself.
    pub view: ServerView,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The name that calls to this life carry.
    pub instance: crate::ids::LifeId,
    /// Start of this life; a later one has a larger number.
    pub born: u64,
    /// Grows with each heartbeat of a life.
    pub sequence: u64,
    /// Its clock.
    pub clock: Option<Duration>,
}

/// A call to the backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerCall {
    /// Where.
    pub address: SocketAddr,
    /// The life that is meant.
    pub life: LifeId,
    /// The name of that life in calls.
    pub instance: LifeId,
    /// Fencing token.
    pub fence: FenceNumber,
    /// Until when everything may run, on the backend server's clock.
    pub lease_until: Option<Duration>,
    /// What is asked.
    pub wish: ServerWish,
}

/// What is asked of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerWish {
    /// Starts a run.
    Start {
        /// The run.
        run: TaskRun,
        /// Text of its job.
        spec: std::sync::Arc<str>,
    },
    /// Stops a run, or bars it.
    Stop {
        /// The run.
        run: TaskRun,
    },
    /// Renews the lease and lists what runs and what ended.
    Hold {
        /// Counts the holds of a life; what was sent before a hold shows in
        /// its lists.
        number: u64,
        /// Ends up to this one may be forgotten.
        noted: EndNumber,
        /// How long the answer may wait for an end.
        wait: Duration,
    },
}

/// A listed end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// Its position.
    pub number: EndNumber,
    /// The run.
    pub run: TaskRun,
    /// How it ended.
    pub kind: EndKind,
}

/// What came of a call to the backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerAnswer {
    /// Done.
    Done,
    /// The lists of a hold.
    Lists {
        /// Runs at work.
        running: Vec<TaskRun>,
        /// Ends that are not forgotten.
        ended: Vec<ListedEnd>,
    },
    /// Nothing was done.
    Refused(StartRefusal),
    /// The call may have been carried out, or may yet be.
    NoAnswer,
}

/// What happens on an agent's connection to a scheduler.
#[derive(Debug)]
pub enum ScheduleEvent {
    /// It was opened.
    Opened,
    /// The scheduler took the latest report.
    ReportTaken,
    /// The scheduler's orders.
    Orders {
        /// When the poll was sent.
        asked_at: Instant,
        /// The orders.
        orders: Box<AgentOrders>,
    },
    /// It is gone.
    Closed,
}

/// Messages to the duty that keeps an agent's runs.
#[derive(Debug)]
pub enum ServerRunsMessage {
    /// A heartbeat of the backend server.
    Beat {
        /// The call.
        call: CallId,
        /// The heartbeat.
        beat: Box<ServerBeat>,
        /// Room for its acknowledgement.
        reply: Reservation<ServerFrontMessage>,
    },
    /// The backend server ends.
    Leave {
        /// The call.
        call: CallId,
        /// The instance.
        instance: LifeId,
        /// Room for the acknowledgement.
        reply: Reservation<ServerFrontMessage>,
    },
    /// A call to the backend server ended.
    Answer {
        /// The call.
        call: Box<ServerCall>,
        /// The backend server's clock when it answered, and when that came.
        clock: Option<(Duration, Instant)>,
        /// What came of it.
        answer: ServerAnswer,
    },
    /// Something happened on the connection to a scheduler.
    Schedule {
        /// The scheduler.
        scheduler: SchedulerKey,
        /// The connection.
        session: SessionId,
        /// What happened.
        event: ScheduleEvent,
    },
}

/// Messages to the agent's HTTP front.
#[derive(Debug)]
pub enum ServerFrontMessage {
    /// Calls the backend server.
    Call {
        /// The call.
        call: Box<ServerCall>,
        /// Room for its end.
        done: Reservation<ServerRunsMessage>,
    },
    /// Acknowledges a heartbeat or a leave.
    Acknowledge {
        /// The call.
        call: CallId,
    },
}

/// Messages to an agent's connections to schedulers.
#[derive(Debug)]
pub enum ScheduleLinkMessage {
    /// Sends a report.
    Report {
        /// To which scheduler.
        scheduler: SchedulerKey,
        /// The report.
        report: Box<AgentReport>,
    },
    /// Entries that schedule.
    Entries {
        /// The entries.
        entries: Vec<EntryHost>,
    },
}
