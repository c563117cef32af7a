//! Owns the closed list of error kinds and the table that maps each kind to its
//! answer.
//!
//! Invariant: a kind that maps to [`Ran::No`] is used only with proof that the
//! work did not start and never will.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether the work behind a failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ran {
    /// The work did not start and never will; this is proven.
    No,
    /// The work started.
    Yes,
    /// The work may have started.
    Unknown,
}

/// Ways in which a request, a job or an operator's command can fail.
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
    /// The request can't be decoded.
    MalformedRequest,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// The operator configuration does not declare the service.
    UnknownService,
    /// The operator configuration does not declare the team.
    UnknownTeam,
    /// No submission with this id is known.
    UnknownJob,
    /// The service's requests are not idempotent and the request carries no
    /// idempotency key.
    MissingKey,
    /// The job has more tasks than the settings allow.
    TooManyTasks,
    /// A task of the job is larger than every worker.
    NeverRunnable,
    /// The team's task quota is used up.
    QuotaExceeded,
    /// A queue or ring is full, or the service's retry budget is used up.
    Overloaded,
    /// The deadline is earlier than the expected completion.
    DeadlineTooShort,
    /// The service has no live backend server.
    NoBackendServer,
    /// A service that this one depends on has no live backend server.
    DependencyDown,
    /// The process is draining.
    ShuttingDown,
    /// No configuration is in force at this entry yet.
    NotReady,
    /// The ledger is unreachable. This request started no work, but an earlier
    /// one with the same id may have.
    LedgerUnavailable,
    /// The submission id is in use with different content.
    SubmissionConflict,
    /// The submission is older than the retention window.
    SubmissionExpired,
    /// The client cancelled before any task started.
    CancelledBeforeStart,
    /// The client cancelled after tasks had started.
    CancelledAfterStart,
    /// No task started before the deadline.
    ExpiredBeforeStart,
    /// The deadline passed while tasks were running.
    DeadlinePassed,
    /// The backend server answered with a failure.
    BackendFailed,
    /// Contact was lost while the work may have been running.
    OutcomeUnknown,
    /// The change was made from a configuration version that is no longer
    /// current.
    VersionConflict,
    /// The operator configuration is invalid.
    InvalidText,
    /// No quorum confirmed the change in time; the change may still be
    /// accepted.
    QuorumUnknown,
    /// No leader is known; nothing was changed.
    NoLeader,
}

/// How one error kind is reported to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRow {
    /// HTTP status code.
    pub status: u16,
    /// Whether the work ran.
    pub ran: Ran,
    /// Delay before a retry; `None` when a retry can't succeed.
    pub retry_after: Option<Duration>,
}

const RETRY_SOON: Option<Duration> = Some(Duration::from_millis(200));
const RETRY_LATER: Option<Duration> = Some(Duration::from_secs(1));
const NO_RETRY: Option<Duration> = None;

const fn row(status: u16, ran: Ran, retry_after: Option<Duration>) -> AnswerRow {
    AnswerRow { status, ran, retry_after }
}

impl ErrorKind {
    /// Status code, whether the work ran, and retry delay of this kind.
    pub const fn answer_row(self) -> AnswerRow {
        match self {
            ErrorKind::MalformedRequest => row(400, Ran::No, NO_RETRY),
            ErrorKind::BodyTooLarge => row(413, Ran::No, NO_RETRY),
            ErrorKind::UnknownService => row(404, Ran::No, NO_RETRY),
            ErrorKind::UnknownTeam => row(403, Ran::No, NO_RETRY),
            ErrorKind::UnknownJob => row(404, Ran::Unknown, NO_RETRY),
            ErrorKind::MissingKey => row(400, Ran::No, NO_RETRY),
            ErrorKind::TooManyTasks => row(422, Ran::No, NO_RETRY),
            ErrorKind::NeverRunnable => row(422, Ran::No, NO_RETRY),
            ErrorKind::QuotaExceeded => row(429, Ran::No, RETRY_LATER),
            ErrorKind::Overloaded => row(503, Ran::No, RETRY_LATER),
            ErrorKind::DeadlineTooShort => row(503, Ran::No, RETRY_LATER),
            ErrorKind::NoBackendServer => row(503, Ran::No, RETRY_LATER),
            ErrorKind::DependencyDown => row(503, Ran::No, RETRY_LATER),
            ErrorKind::ShuttingDown => row(503, Ran::No, RETRY_SOON),
            ErrorKind::NotReady => row(503, Ran::No, RETRY_SOON),
            ErrorKind::LedgerUnavailable => row(503, Ran::Unknown, RETRY_LATER),
            ErrorKind::SubmissionConflict => row(409, Ran::No, NO_RETRY),
            ErrorKind::SubmissionExpired => row(410, Ran::Unknown, NO_RETRY),
            ErrorKind::CancelledBeforeStart => row(409, Ran::No, NO_RETRY),
            ErrorKind::CancelledAfterStart => row(409, Ran::Yes, NO_RETRY),
            ErrorKind::ExpiredBeforeStart => row(504, Ran::No, RETRY_LATER),
            ErrorKind::DeadlinePassed => row(504, Ran::Unknown, NO_RETRY),
            ErrorKind::BackendFailed => row(502, Ran::Yes, NO_RETRY),
            ErrorKind::OutcomeUnknown => row(504, Ran::Unknown, NO_RETRY),
            ErrorKind::VersionConflict => row(409, Ran::No, NO_RETRY),
            ErrorKind::InvalidText => row(422, Ran::No, NO_RETRY),
            ErrorKind::QuorumUnknown => row(504, Ran::Unknown, RETRY_LATER),
            ErrorKind::NoLeader => row(503, Ran::No, RETRY_LATER),
        }
    }
}

/// A failed answer: its kind and a sentence that explains it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Error kind, which determines the answer's status code and retry delay.
    pub kind: ErrorKind,
    /// One sentence for the client.
    pub detail: CompactString,
}

impl Failure {
    /// Creates a failure of `kind` with one sentence of detail.
    pub fn new(kind: ErrorKind, detail: impl Into<CompactString>) -> Failure {
        Failure { kind, detail: detail.into() }
    }

    /// Whether the work ran.
    pub fn ran(&self) -> Ran {
        self.kind.answer_row().ran
    }

    /// Whether the same submission may be run again: none of its work ran, and
    /// a retry may succeed.
    pub fn allows_rerun(&self) -> bool {
        let row = self.kind.answer_row();
        row.ran == Ran::No && row.retry_after.is_some()
    }
}

/// Body of a failed answer, as `application/problem+json`.
///
/// Source: RFC 9457, "Problem Details for HTTP APIs".
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Error kind.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// One sentence for the client.
    pub detail: CompactString,
    /// Whether the work ran.
    pub ran: Ran,
    /// Delay before a retry, in milliseconds; absent when a retry can't
    /// succeed.
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
            retry_after_ms: row.retry_after.map(|delay| delay.as_millis() as u64),
        }
    }
}
