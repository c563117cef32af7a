//! Owns the commands of the replicated log and their results.
//!
//! Invariant: applying the same commands in the same order gives every
//! replica the same state; whatever depends on time is in the command.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::cluster::MemberRecord;
use crate::ids::{
    ClaimEpoch, ConfigVersion, Fingerprint, Incarnation, JobId, LogIndex, MembersVersion, NodeId,
    RequestId, ServiceId, TeamId, WorkerId,
};
use crate::queue_catalog::QueueCatalog;
use crate::queue_jobs::{EndedRun, QueuedJob};
use crate::settings::ControlPeer;
use crate::text::OperatorText;
use crate::work::{JobAnswer, JobKey, OwnerRef};

/// A claim of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOrder {
    /// The submission.
    pub key: JobKey,
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// Who asks to own it.
    pub owner: OwnerRef,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Nothing; a new leader writes one to commit what earlier terms left.
    Noop,
    /// Accepts an operators' text made from version `base`.
    ApplyText {
        /// The same for a resend.
        request: RequestId,
        /// Version that the text was made from.
        base: ConfigVersion,
        /// The text.
        text: Box<OperatorText>,
    },
    /// Claims a submission.
    Claim {
        /// The claim.
        order: ClaimOrder,
    },
    /// Asks what is known of a submission; changes nothing.
    Peek {
        /// The submission.
        key: JobKey,
        /// Fingerprint of its content; `None` when only the key is known.
        fingerprint: Option<Fingerprint>,
    },
    /// Records the final answer of a submission.
    Finish {
        /// The submission.
        key: JobKey,
        /// The claim under which it ran.
        epoch: ClaimEpoch,
        /// Who ran it.
        owner: OwnerRef,
        /// The answer.
        answer: JobAnswer,
    },
    /// A member joined or came back with a new incarnation.
    Join {
        /// The member.
        member: MemberRecord,
    },
    /// A member's lease lapsed or it left; an entry's incarnation is fenced.
    Lapse {
        /// The member.
        node: NodeId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// Every agent that could start work of this incarnation knows its fence.
    FenceInForce {
        /// The entry.
        entry: NodeId,
        /// The fenced incarnation.
        incarnation: Incarnation,
    },
    /// Adds to the monthly figures.
    AddFigures {
        /// The increment.
        increment: FigureIncrement,
    },
    /// Forgets the answers of submissions finished before a moment; their ids
    /// stay known as expired. Milliseconds since 1970.
    Expire {
        /// The moment.
        before_ms: u64,
    },
    /// Puts a catalog of queues in force, if its version is the highest.
    SetCatalog {
        /// The catalog.
        catalog: Arc<QueueCatalog>,
    },
    /// Accepts a job; an id that is known stays the job that it is.
    AcceptJob {
        /// The job.
        job: Arc<QueuedJob>,
    },
    /// Cancels a job.
    CancelJob {
        /// The job.
        job: JobId,
    },
    /// Records ends of runs.
    EndRuns {
        /// The ends.
        ends: Vec<EndedRun>,
    },
    /// An agent may be given work.
    RegisterAgent {
        /// The agent.
        agent: NodeId,
    },
    /// An agent holds nothing any more.
    DeregisterAgent {
        /// The agent.
        agent: NodeId,
    },
    /// Forgets jobs that ended before a moment, in milliseconds since 1970.
    ForgetJobs {
        /// The moment.
        before_ms: u64,
    },
    /// Replaces the group of control hosts by one that differs in one host.
    ChangeGroup {
        /// The whole new group.
        group: Vec<ControlPeer>,
    },
}

impl Command {
    /// Whether it is about queues, their jobs, or the agents that run them.
    pub fn is_about_queues(&self) -> bool {
        matches!(
            self,
            Command::SetCatalog { .. }
                | Command::AcceptJob { .. }
                | Command::CancelJob { .. }
                | Command::EndRuns { .. }
                | Command::RegisterAgent { .. }
                | Command::DeregisterAgent { .. }
                | Command::ForgetJobs { .. }
        )
    }
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandResult {
    /// Nothing to tell.
    Done,
    /// The text is accepted.
    TextAccepted {
        /// Its version.
        version: ConfigVersion,
    },
    /// The text was made from a version that is no longer current.
    VersionConflict {
        /// The current version.
        current: ConfigVersion,
        /// What differs between the current text and the refused one.
        lines: Vec<String>,
    },
    /// The caller owns the submission.
    Claimed {
        /// The claim's epoch.
        epoch: ClaimEpoch,
        /// What is known of an earlier owner's work.
        takeover: Takeover,
    },
    /// Nobody has claimed the submission, or nothing of it ever started.
    Unclaimed,
    /// Another entry owns the submission and has not been fenced.
    OwnedElsewhere {
        /// The owner.
        owner: OwnerRef,
    },
    /// The submission has ended.
    Recorded {
        /// The answer.
        answer: JobAnswer,
    },
    /// The id is in use with other content.
    ContentConflict,
    /// The id is older than the retention window.
    Expired,
    /// The claim was overtaken; the answer was not recorded.
    Overtaken,
    /// The owner that asked has been fenced.
    OwnerFenced,
    /// The change of the group is not one that can be made.
    GroupRefused {
        /// Why.
        reason: CompactString,
    },
}

/// What a new owner must know of the work of the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Takeover {
    /// Nobody owned the submission before, or nothing of it ever started.
    Fresh,
    /// An earlier owner may have started tasks; agents must be asked.
    Collect {
        /// Whether an agent was lost since the first claim: a task that no
        /// agent knows may then have run.
        memory_lost: bool,
        /// The agents, by incarnation, that may have started tasks.
        agents: IndexMap<WorkerId, Incarnation>,
    },
}

/// Counters and a histogram to add to one month.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FigureIncrement {
    /// The entry that counted.
    pub entry: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts from 1 within the incarnation; an increment is added once.
    pub sequence: u64,
    /// Calendar month in the deployment's time zone, as `2026-12`.
    pub month: CompactString,
    /// One row for each service and team.
    pub rows: Vec<FigureRow>,
}

/// Figures of one service and team.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FigureRow {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// Requests and jobs that arrived.
    pub submitted: u64,
    /// Those answered in full.
    pub completed: u64,
    /// Those that failed after work may have run, by error kind.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub failed: IndexMap<CompactString, u64>,
    /// Those refused as "not run", by error kind.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub refused: IndexMap<CompactString, u64>,
    /// Tasks that ran.
    pub tasks: u64,
    /// Messages that did no work for an outcome.
    pub wasted: u64,
    /// Slowdown in percent (100 is the ideal): count of answers for each
    /// histogram bucket.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub slowdown: IndexMap<u64, u64>,
}

/// Versions of the replicated state that watchers wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StateVersions {
    /// Last applied position.
    pub applied: LogIndex,
    /// Configuration.
    pub config: ConfigVersion,
    /// Member list.
    pub members: MembersVersion,
}
