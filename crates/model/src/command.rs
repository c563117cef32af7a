//! Owns the commands of the replicated log and their results.
//!
//! Invariant: state machine replication. Applying the same commands in the same
//! order gives every replica the same state, so a command carries every time
//! that its effect depends on.

use std::sync::Arc;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::cluster::MemberRecord;
use crate::ids::{
    ClaimEpoch, ConfigVersion, DomainId, Fingerprint, Incarnation, JobId, LogIndex, MembersVersion,
    NodeId, RequestId, ServiceId, TeamId, WorkerId,
};
use crate::operator_config::OperatorConfig;
use crate::queue_catalog::QueueCatalog;
use crate::queue_jobs::{EndedRun, QueuedJob};
use crate::settings::ControlPeer;
use crate::work::{JobAnswer, JobKey, OwnerRef};

/// Requests ownership of a submission for an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The submission to claim.
    pub key: JobKey,
    /// Fingerprint of the submission's content, which detects reuse of its id
    /// for other content.
    pub fingerprint: Fingerprint,
    /// The entry that requests ownership.
    pub owner: OwnerRef,
}

/// A command of the replicated log, which changes the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes nothing; a new leader appends one to commit the records of
    /// earlier terms.
    Noop,
    /// Accepts an operator configuration that was edited from version `base`.
    #[serde(rename = "apply_text")]
    ApplyConfig {
        /// The operator's request id, equal for a resend.
        request: RequestId,
        /// Version that the edit started from; refused when it is not the
        /// current one.
        base: ConfigVersion,
        /// The complete new configuration.
        text: Box<OperatorConfig>,
    },
    /// Claims a submission.
    Claim {
        /// The submission and its new owner.
        order: ClaimRequest,
    },
    /// Reads what is known of a submission; changes nothing.
    Peek {
        /// The submission to look up.
        key: JobKey,
        /// Fingerprint of its content; `None` when only the key is known.
        fingerprint: Option<Fingerprint>,
    },
    /// Records the final answer of a submission.
    Finish {
        /// The finished submission.
        key: JobKey,
        /// Claim epoch under which it ran; a claim of another epoch refuses the
        /// answer.
        epoch: ClaimEpoch,
        /// The entry that ran it.
        owner: OwnerRef,
        /// The answer to record.
        answer: JobAnswer,
    },
    /// A member joined, or rejoined with a new incarnation.
    Join {
        /// The member and its incarnation.
        member: MemberRecord,
    },
    /// A member's lease expired or the member left. An entry's incarnation is
    /// fenced.
    #[serde(rename = "lapse")]
    ExpireMember {
        /// The member whose lease ended.
        node: NodeId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// Every agent that could start work of this incarnation has acknowledged
    /// its fence.
    FenceInForce {
        /// The fenced entry.
        entry: NodeId,
        /// The fenced incarnation.
        incarnation: Incarnation,
    },
    /// Adds to the monthly figures.
    AddFigures {
        /// Counters to add; each sequence number is added once.
        increment: FigureIncrement,
    },
    /// Drops the answers of submissions that finished before a time; their ids
    /// stay known as expired.
    Expire {
        /// The time, in milliseconds since 1970.
        before_ms: u64,
    },
    /// Puts a catalog of queues into force if its version is the highest so
    /// far.
    SetCatalog {
        /// The catalog to put into force.
        catalog: Arc<QueueCatalog>,
    },
    /// Accepts a job. A job whose id is already known is left unchanged.
    AcceptJob {
        /// The job to store.
        job: Arc<QueuedJob>,
    },
    /// Cancels a job.
    CancelJob {
        /// The job to cancel.
        job: JobId,
    },
    /// Records ended runs.
    EndRuns {
        /// The runs and how they ended.
        ends: Vec<EndedRun>,
    },
    /// Registers an agent to which runs may be assigned.
    RegisterAgent {
        /// The agent to register.
        agent: NodeId,
    },
    /// Removes an agent that has no runs left.
    DeregisterAgent {
        /// The agent to remove.
        agent: NodeId,
    },
    /// Drops jobs that ended before a time.
    ForgetJobs {
        /// The time, in milliseconds since 1970.
        before_ms: u64,
    },
    /// Requests that nothing more be started on the backend servers of a failure domain, or
    /// revokes that request. Repeating it changes nothing.
    SetEvacuation {
        /// The failure domain; none of its servers need be known.
        domain: DomainId,
        /// Whether the domain is evacuated from now on.
        is_evacuated: bool,
    },
    /// Replaces the group of control hosts by one that differs in one host.
    ChangeGroup {
        /// The complete new group.
        group: Vec<ControlPeer>,
    },
}

impl Command {
    /// Whether the command is about queues, queued jobs, or the agents that run
    /// them.
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
                | Command::SetEvacuation { .. }
        )
    }
}

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandResult {
    /// The command was applied and returns no value.
    Done,
    /// The configuration was accepted.
    #[serde(rename = "text_accepted")]
    ConfigAccepted {
        /// Its new version.
        version: ConfigVersion,
    },
    /// The configuration was edited from a version that is no longer current.
    VersionConflict {
        /// The current version.
        current: ConfigVersion,
        /// Differences between the current configuration and the refused one,
        /// one a line.
        lines: Vec<String>,
    },
    /// The requesting entry owns the submission.
    Claimed {
        /// Epoch of its claim, which increases with each new owner.
        epoch: ClaimEpoch,
        /// What is known of the work of an earlier owner.
        takeover: Takeover,
    },
    /// The submission is unclaimed, or none of its tasks ever started.
    Unclaimed,
    /// Another entry owns the submission and has not been fenced.
    OwnedElsewhere {
        /// The current owner.
        owner: OwnerRef,
    },
    /// The submission has ended.
    Recorded {
        /// The recorded answer.
        answer: JobAnswer,
    },
    /// The id is in use with different content.
    ContentConflict,
    /// The id is older than the retention window.
    Expired,
    /// The claim was superseded by a later one; the answer was not recorded.
    #[serde(rename = "overtaken")]
    Superseded,
    /// The requesting entry's incarnation has been fenced.
    OwnerFenced,
    /// The group can't be changed in this way.
    GroupRefused {
        /// Why the change is not possible.
        reason: CompactString,
    },
}

/// What a new owner must find out about the work of the previous owner before
/// it places tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Takeover {
    /// The submission had no earlier owner, or none of its tasks ever started.
    Fresh,
    /// An earlier owner may have started tasks; the agents must be queried.
    Collect {
        /// Whether an agent has been lost since the first claim. A task that no
        /// agent knows of may then have run.
        memory_lost: bool,
        /// Agents that may have started tasks, with their incarnations.
        agents: IndexMap<WorkerId, Incarnation>,
    },
}

/// Counters and histograms that an entry adds to the figures of one month.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FigureIncrement {
    /// The entry that counted.
    pub entry: NodeId,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, from 1; makes a resent increment
    /// idempotent.
    pub sequence: u64,
    /// Calendar month in the deployment's time zone, as `2026-12`.
    pub month: CompactString,
    /// One row for each service and team.
    pub rows: Vec<FigureRow>,
}

/// Monthly figures of one service and team.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FigureRow {
    /// Service that was called.
    pub service: ServiceId,
    /// Team that called it.
    pub team: TeamId,
    /// Number of requests and jobs that arrived.
    pub submitted: u64,
    /// Number answered in full.
    pub completed: u64,
    /// Number that failed after work may have run, by error kind.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub failed: IndexMap<CompactString, u64>,
    /// Number refused with proof that no work ran, by error kind.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub refused: IndexMap<CompactString, u64>,
    /// Number of tasks that ran.
    pub tasks: u64,
    /// Number of messages that did no work towards an outcome.
    pub wasted: u64,
    /// Slowdown histogram: number of answers for each bucket, in percent of the
    /// ideal response time (100 is ideal).
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub slowdown: IndexMap<u64, u64>,
}

/// Versions of the replicated state that watch calls wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StateVersions {
    /// Last applied log position.
    pub applied: LogIndex,
    /// Version of the configuration.
    pub config: ConfigVersion,
    /// Version of the member list.
    pub members: MembersVersion,
}
