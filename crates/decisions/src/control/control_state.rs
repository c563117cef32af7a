//! Replicated state machine of the control hosts.
//!
//! Invariant: applying records is deterministic; the state depends only on the
//! sequence of records applied.

use std::sync::Arc;

use model::{
    Command, CommandResult, ConfigVersion, HistoryLine, LogIndex, LogRecord, MembershipState,
    MonthFigures, StateVersions,
};
use serde::{Deserialize, Serialize};

use super::config_store::ConfigStore;
use super::figure_store::FigureStore;
use super::job_store::JobStore;
use super::ledger::Ledger;
use super::member_store::{MemberChange, MemberStore};

/// State built from the replicated log, and the content of its snapshots.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    applied: LogIndex,
    configs: ConfigStore,
    ledger: Ledger,
    members: MemberStore,
    figures: FigureStore,
    jobs: JobStore,
}

impl ControlState {
    /// Applies the next committed record and returns its result.
    pub fn apply(&mut self, record: &LogRecord) -> CommandResult {
        debug_assert_eq!(record.index, self.applied + 1, "records must be applied in order");
        self.applied = record.index;
        match &record.command {
            Command::Noop | Command::ChangeGroup { .. } => CommandResult::Done,
            Command::ApplyConfig { request, base, text } => {
                self.configs.apply(request, *base, text, record.at_ms)
            }
            Command::Claim { order } => {
                self.ledger.claim(record.index, order, self.members.agents())
            }
            Command::Peek { key, fingerprint } => self.ledger.peek(key, *fingerprint),
            Command::Finish { key, epoch, owner, answer } => {
                self.ledger.finish(key, *epoch, owner, answer, record.at_ms)
            }
            Command::Join { member } => {
                let change = self.members.join(member);
                self.on_member_change(record.index, &member.node, change)
            }
            Command::ExpireMember { node, incarnation } => {
                let change = self.members.lapse(node, *incarnation);
                self.on_member_change(record.index, node, change)
            }
            Command::FenceInForce { entry, incarnation } => {
                self.members.fence_in_force(entry, *incarnation);
                self.ledger.on_fence_in_force(entry, *incarnation);
                CommandResult::Done
            }
            Command::AddFigures { increment } => {
                self.figures.add(record.at_ms, increment);
                CommandResult::Done
            }
            Command::CancelJob { job } => {
                // `Unclaimed` stands for an unknown job here.
                let known = self.jobs.job(job).is_some();
                self.jobs.apply(record);
                if known { CommandResult::Done } else { CommandResult::Unclaimed }
            }
            Command::SetCatalog { .. }
            | Command::AcceptJob { .. }
            | Command::EndRuns { .. }
            | Command::RegisterAgent { .. }
            | Command::DeregisterAgent { .. }
            | Command::ForgetJobs { .. }
            | Command::SetEvacuation { .. } => {
                self.jobs.apply(record);
                CommandResult::Done
            }
            Command::Expire { before_ms } => {
                self.ledger.expire(*before_ms);
                CommandResult::Done
            }
        }
    }

    fn on_member_change(
        &mut self,
        index: LogIndex,
        node: &model::NodeId,
        change: MemberChange,
    ) -> CommandResult {
        match change {
            MemberChange::None | MemberChange::Joined => {}
            MemberChange::EntryEnded { incarnation } => {
                self.ledger.on_entry_lapsed(node, incarnation);
            }
            MemberChange::AgentEnded => self.ledger.on_agent_lost(index),
        }
        CommandResult::Done
    }

    /// Returns the state of a submission, without a log record.
    pub fn peek(
        &self,
        key: &model::JobKey,
        fingerprint: Option<model::Fingerprint>,
    ) -> CommandResult {
        self.ledger.peek(key, fingerprint)
    }

    /// Queued jobs, agents that may hold work of them, the catalog of queues, and the failure
    /// domains that are evacuated.
    pub fn jobs(&self) -> &JobStore {
        &self.jobs
    }

    /// Index of the last applied record, and the versions that watches wait for.
    pub fn versions(&self) -> StateVersions {
        StateVersions {
            applied: self.applied,
            config: self.configs.version(),
            members: self.members.version(),
        }
    }

    /// The configuration in force, if any.
    pub fn config(&self) -> Option<Arc<model::ConfigInForce>> {
        self.configs.current()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.configs.version()
    }

    /// Recently accepted configuration versions, oldest first.
    pub fn history(&self) -> Vec<HistoryLine> {
        self.configs.history()
    }

    /// Figures of one month; without rows if the month is unknown.
    pub fn month(&self, month: &compact_str::CompactString) -> MonthFigures {
        self.figures.month(month)
    }

    /// Time of the oldest recorded answer, in milliseconds since 1970.
    pub fn oldest_ended_ms(&self) -> Option<u64> {
        self.ledger.oldest_ended_ms()
    }

    /// Number of submissions in the ledger, and number of expired ids.
    pub fn ledger_size(&self) -> (usize, usize) {
        self.ledger.size()
    }

    /// Copies the part of the state that lease tracking needs.
    pub fn membership(&self) -> MembershipState {
        MembershipState {
            config: self.configs.current(),
            deltas: self.configs.deltas(),
            members_version: self.members.version(),
            members: self.members.members().clone(),
            ended: self.members.ended().clone(),
            fences: self.members.fences().clone(),
            pending_fences: self.members.pending().to_vec(),
        }
    }
}
