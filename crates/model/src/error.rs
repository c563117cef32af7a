//! Owns the closed list of error kinds and the one table from kind to answer.
//!
//! Invariant: a kind whose row says [`Ran::No`] is used only with proof that
//! the work did not start and never will.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether the work behind a failed answer ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ran {
    /// Proved: it did not start and never will.
    No,
    /// It started.
    Yes,
    /// It may have started.
    Unknown,
}

/// Every way in which a request, a job or an operator's command can fail.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The request can't be read.
    MalformedRequest,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// The text declares no such service.
    UnknownService,
    /// The text declares no such team.
    UnknownTeam,
    /// No such submission is known.
    UnknownJob,
    /// The service's requests are not idempotent, and no key was given.
    MissingKey,
    /// The job has more tasks than allowed.
    TooManyTasks,
    /// No worker could ever hold the job.
    NeverRunnable,
    /// The team is over its quota.
    QuotaExceeded,
    /// The queue is full.
    Overloaded,
    /// The deadline can't be met.
    DeadlineTooShort,
    /// The service has no live backend server.
    NoBackendServer,
    /// A service that this one depends on has no live backend server.
    DependencyDown,
    /// The process is draining.
    ShuttingDown,
    /// No configuration is in force here yet.
    NotReady,
    /// The ledger can't be reached. This request started nothing, but whether
    /// an earlier one with the same id did can't be told.
    LedgerUnavailable,
    /// The submission id is in use with other content.
    SubmissionConflict,
    /// The submission is older than the retention window.
    SubmissionExpired,
    /// The caller cancelled before any task started.
    CancelledBeforeStart,
    /// The caller cancelled after tasks had started.
    CancelledAfterStart,
    /// No task started before the deadline.
    ExpiredBeforeStart,
    /// The deadline passed while tasks ran.
    DeadlinePassed,
    /// The backend server answered with a failure.
    BackendFailed,
    /// Contact was lost while the work may have been running.
    OutcomeUnknown,
    /// The configuration has moved on since the version the change names.
    VersionConflict,
    /// The operators' text has mistakes.
    InvalidText,
    /// No quorum confirmed the change in time; it may still be accepted.
    QuorumUnknown,
    /// No leader is known; nothing was changed.
    NoLeader,
}

/// What a caller is told for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRow {
    /// HTTP status code.
    pub status: u16,
    /// Whether the work ran.
    pub ran: Ran,
    /// When a retry makes sense; `None` when it never does.
    pub retry_after: Option<Duration>,
}

const SOON: Option<Duration> = Some(Duration::from_millis(200));
const LATER: Option<Duration> = Some(Duration::from_secs(1));
const NEVER: Option<Duration> = None;

const fn row(status: u16, ran: Ran, retry_after: Option<Duration>) -> AnswerRow {
    AnswerRow { status, ran, retry_after }
}

impl ErrorKind {
    /// The one table from kind to answer.
    pub const fn answer_row(self) -> AnswerRow {
        match self {
            ErrorKind::MalformedRequest => row(400, Ran::No, NEVER),
            ErrorKind::BodyTooLarge => row(413, Ran::No, NEVER),
            ErrorKind::UnknownService => row(404, Ran::No, NEVER),
            ErrorKind::UnknownTeam => row(403, Ran::No, NEVER),
            ErrorKind::UnknownJob => row(404, Ran::Unknown, NEVER),
            ErrorKind::MissingKey => row(400, Ran::No, NEVER),
            ErrorKind::TooManyTasks => row(422, Ran::No, NEVER),
            ErrorKind::NeverRunnable => row(422, Ran::No, NEVER),
            ErrorKind::QuotaExceeded => row(429, Ran::No, LATER),
            ErrorKind::Overloaded => row(503, Ran::No, LATER),
            ErrorKind::DeadlineTooShort => row(503, Ran::No, LATER),
            ErrorKind::NoBackendServer => row(503, Ran::No, LATER),
            ErrorKind::DependencyDown => row(503, Ran::No, LATER),
            ErrorKind::ShuttingDown => row(503, Ran::No, SOON),
            ErrorKind::NotReady => row(503, Ran::No, SOON),
            ErrorKind::LedgerUnavailable => row(503, Ran::Unknown, LATER),
            ErrorKind::SubmissionConflict => row(409, Ran::No, NEVER),
            ErrorKind::SubmissionExpired => row(410, Ran::Unknown, NEVER),
            ErrorKind::CancelledBeforeStart => row(409, Ran::No, NEVER),
            ErrorKind::CancelledAfterStart => row(409, Ran::Yes, NEVER),
            ErrorKind::ExpiredBeforeStart => row(504, Ran::No, LATER),
            ErrorKind::DeadlinePassed => row(504, Ran::Unknown, NEVER),
            ErrorKind::BackendFailed => row(502, Ran::Yes, NEVER),
            ErrorKind::OutcomeUnknown => row(504, Ran::Unknown, NEVER),
            ErrorKind::VersionConflict => row(409, Ran::No, NEVER),
            ErrorKind::InvalidText => row(422, Ran::No, NEVER),
            ErrorKind::QuorumUnknown => row(504, Ran::Unknown, LATER),
            ErrorKind::NoLeader => row(503, Ran::No, LATER),
        }
    }
}

/// A failed answer: its kind and what a person should know besides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind; its row in the table decides the answer.
    pub kind: ErrorKind,
    /// One sentence for the caller.
    pub detail: CompactString,
}

impl Failure {
    /// A failure of `kind` with one sentence of detail.
    pub fn new(kind: ErrorKind, detail: impl Into<CompactString>) -> Failure {
        Failure { kind, detail: detail.into() }
    }

    /// Whether the work ran.
    pub fn ran(&self) -> Ran {
        self.kind.answer_row().ran
    }

    /// Whether the same submission may be run anew: nothing of it ran, and
    /// trying again makes sense.
    pub fn allows_rerun(&self) -> bool {
        let row = self.kind.answer_row();
        row.ran == Ran::No && row.retry_after.is_some()
    }
}

/// The body of a failed answer, as `application/problem+json`.
///
/// Source: RFC 9457, "Problem Details for HTTP APIs".
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Error kind.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// One sentence.
    pub detail: CompactString,
    /// Whether the work ran.
    pub ran: Ran,
    /// Milliseconds after which a retry makes sense.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&Failure> for Problem {
    fn from(failure: &Failure) -> Problem {
        let row = failure.kind.answer_row();
        Problem {
            kind: failure.kind,
            status: row.status,
            detail: failure.detail.clone(),
            ran: row.ran,
            retry_after_ms: row.retry_after.map(|after| after.as_millis() as u64),
        }
    }
}
