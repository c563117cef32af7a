//! Owns an agent's state for one scheduler: connection, grant and unsent
//! updates. The grant outlives the connection until it expires.
//!
//! An update that the scheduler has to act on is reported at once. One that only
//! releases capacity, or asks for a claim that the scheduler most likely doesn't hold, waits
//! for a short time, so that it goes with others.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    ClaimUpdate, EndKind, MAX_UNACKED_REPORTS, PairReport, QueueId, ResourceAmount, RunUpdate,
    ServerReport, SessionId, SpeedReport, Term,
};

use super::kind_samples::KindSamples;
use super::server_speed::differs;
use crate::pair_sums::PairSums;
use crate::run_bounds::MAX_OWN_RUNS;

/// How long an update that is not urgent may wait for others.
const JOINED_UPDATE_DELAY: Duration = Duration::from_millis(20);

/// How long an update that nothing waits for may wait for others.
const EVENTUAL_UPDATE_DELAY: Duration = Duration::from_millis(400);

/// Interval of reports of changed usage until the scheduler has named its own.
const INITIAL_USAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of ends that wait for an entry to connect again. None of a run that the entry
/// still takes to be active is left out: it would start the task again. Those are at most
/// [`MAX_OWN_RUNS`]; the others have arrived, and only their acknowledgement was lost.
const MAX_KEPT_ENDS: usize = 2 * MAX_OWN_RUNS;

/// Change of the backend server's speed that is reported.
const REPORTED_SPEED_FACTOR: f64 = 1.05;

/// Factor by which the number of jobs that the speed is based on has to rise to be reported.
const REPORTED_JOBS_FACTOR: u32 = 2;

/// Number of jobs above which a rise isn't reported.
const MAX_REPORTED_JOBS: u32 = 64;

/// Time between two reports of pairs of kinds.
const PAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Change of a pair that is reported: of its weight, as a share of what the scheduler has by
/// its own decay, and of the difference of logarithms.
const REPORTED_WEIGHT_SHARE: f64 = 0.25;
const REPORTED_EXCESS: f64 = 0.1;

/// Largest number of kinds that a scheduler may watch.
const MAX_WATCHED_KINDS: usize = 64;

/// When an update has to be reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateUrgency {
    /// The scheduler has to act on it.
    AtOnce,
    /// It only releases capacity, or most likely asks for nothing but a confirmation.
    WithOthers,
    /// No job waits for it.
    Eventually,
}

/// Session with one scheduler.
#[derive(Debug, Clone, Default)]
pub(super) struct SchedulerSession {
    /// Id of the open connection, if there is one.
    pub(super) session: Option<SessionId>,
    /// Whether the next report must list all runs.
    pub(super) must_list_runs: bool,
    /// Whether those that it has listed in this session may not be all.
    has_listed_part: bool,
    pub(super) needs_report: bool,
    /// Reports that are sent and not acknowledged yet.
    unacked_reports: usize,
    /// Highest term seen; orders of earlier terms are ignored.
    pub(super) term: Term,
    /// Time until which runs of this scheduler may stay active.
    pub(super) grant_until: Option<Instant>,
    /// Duration of its grants.
    pub(super) grant: Duration,
    /// Updates to send with the next report.
    updates: Vec<RunUpdate>,
    /// Ends of completed runs in each report that is sent and not acknowledged yet, oldest
    /// report first.
    sent_ends: VecDeque<Vec<RunUpdate>>,
    /// Ends of completed runs that the lost connection may not have delivered.
    kept_ends: Vec<RunUpdate>,
    /// Claim updates to send with the next report.
    claim_updates: Vec<ClaimUpdate>,
    /// Time by which the updates have to be reported.
    updates_due: Option<Instant>,
    /// What the latest report of the session said of the backend server.
    reported_server: ServerReport,
    /// The latest speed of the backend server that was reported since.
    reported_speed: Option<SpeedReport>,
    /// The sums of each pair of kinds that were reported since, and when any was.
    reported_pairs: IndexMap<(QueueId, QueueId), PairSums>,
    pairs_reported_at: Option<Instant>,
    /// Kinds whose presence the scheduler wants to know, and those that it knows of.
    watched_kinds: Vec<QueueId>,
    reported_kinds: Vec<QueueId>,
    /// Minimum time between reports that carry only a changed usage by other
    /// schedulers.
    pub(super) usage_interval: Duration,
    /// Whether the session's link was notified of runs of this scheduler, or of none.
    pub(super) notified_active: Option<bool>,
    /// Usage by other schedulers in the latest report.
    reported_usage: ResourceAmount,
    reported_at: Option<Instant>,
}

impl SchedulerSession {
    /// Takes the ends of completed runs that no earlier session has delivered for sure. An
    /// entry that gets one twice has no such run any more.
    pub(super) fn take_kept_ends(&mut self) -> Vec<RunUpdate> {
        std::mem::take(&mut self.kept_ends)
    }

    fn keep_ends(&mut self, updates: impl Iterator<Item = RunUpdate>) {
        self.kept_ends.extend(updates.filter(is_completed));
        let excess = self.kept_ends.len().saturating_sub(MAX_KEPT_ENDS);
        self.kept_ends.drain(..excess);
    }

    /// Starts a session; its first report lists all runs.
    pub(super) fn open(&mut self, session: SessionId, updates: Vec<RunUpdate>) {
        self.session = Some(session);
        self.must_list_runs = true;
        self.has_listed_part = false;
        self.needs_report = true;
        self.unacked_reports = 0;
        self.usage_interval = self.usage_interval.max(INITIAL_USAGE_INTERVAL);
        self.updates = updates;
        self.claim_updates.clear();
        self.updates_due = None;
        self.notified_active = None;
        self.reported_server = ServerReport::Unchanged;
        self.watched_kinds.clear();
        self.reported_kinds.clear();
    }

    /// Ends a session; the grant stays valid until it expires. Returns `false` if it is
    /// not the open one.
    pub(super) fn close(&mut self, session: SessionId) -> bool {
        let is_open = self.session.take_if(|open| *open == session).is_some();
        if is_open {
            let sent = std::mem::take(&mut self.sent_ends).into_iter().flatten();
            let waiting = std::mem::take(&mut self.updates);
            self.keep_ends(sent.chain(waiting));
            self.claim_updates.clear();
        }
        is_open
    }

    /// Adds a claim update. Without a session it is dropped: an entry lists its claims again
    /// in the next one.
    pub(super) fn add_claim_update(
        &mut self,
        now: Instant,
        update: ClaimUpdate,
        urgency: UpdateUrgency,
    ) {
        if self.session.is_some() {
            self.claim_updates.push(update);
            self.require_report(now, urgency);
        }
    }

    /// Takes the claim updates for a report that is sent now.
    pub(super) fn take_claim_updates(&mut self) -> Vec<ClaimUpdate> {
        std::mem::take(&mut self.claim_updates)
    }

    /// Adds an update to the next report. Without a session only the end of a completed run
    /// is kept: the next session begins with the list of runs and the unacknowledged ends.
    pub(super) fn add_update(&mut self, now: Instant, update: RunUpdate, urgency: UpdateUrgency) {
        if self.session.is_none() {
            return self.keep_ends(std::iter::once(update));
        }
        self.require_report(now, urgency);
        self.updates.push(update);
    }

    fn require_report(&mut self, now: Instant, urgency: UpdateUrgency) {
        let due = match urgency {
            UpdateUrgency::AtOnce => now,
            UpdateUrgency::WithOthers => now + JOINED_UPDATE_DELAY,
            UpdateUrgency::Eventually => now + EVENTUAL_UPDATE_DELAY,
        };
        self.updates_due = self.updates_due.into_iter().chain([due]).min();
    }

    /// Handles the acknowledgement of this number of reports.
    pub(super) fn on_reports_acked(&mut self, count: usize) {
        self.unacked_reports = self.unacked_reports.saturating_sub(count);
        self.sent_ends.drain(..count.min(self.sent_ends.len()));
    }

    /// Whether a report may be sent.
    pub(super) fn accepts_report(&self) -> bool {
        self.session.is_some() && self.unacked_reports < MAX_UNACKED_REPORTS
    }

    pub(super) fn remaining_grant(&self, now: Instant) -> Duration {
        self.grant_until.map(|until| until.saturating_duration_since(now)).unwrap_or_default()
    }

    /// Whether a report is due; `other_usage` is the current usage by other
    /// schedulers.
    pub(super) fn is_report_due(&self, now: Instant, other_usage: &ResourceAmount) -> bool {
        let is_due = self.next_report(other_usage).is_some_and(|at| at <= now);
        self.accepts_report() && (self.needs_report || is_due)
    }

    /// Requires a list of all runs once they are known, if the session has had a part of it.
    pub(super) fn complete_list(&mut self, runs_partial: bool) {
        if !runs_partial && std::mem::take(&mut self.has_listed_part) {
            self.must_list_runs = true;
            self.needs_report = true;
        }
    }

    /// Takes the updates for a report with this usage, which is sent now. `runs_partial` is
    /// whether there may be more runs than it lists.
    pub(super) fn take_updates(
        &mut self,
        now: Instant,
        other_usage: ResourceAmount,
        runs_partial: bool,
    ) -> Vec<RunUpdate> {
        self.must_list_runs = false;
        self.has_listed_part |= runs_partial;
        self.needs_report = false;
        self.unacked_reports += 1;
        self.reported_usage = other_usage;
        self.reported_at = Some(now);
        self.updates_due = None;
        let updates = std::mem::take(&mut self.updates);
        self.sent_ends.push_back(updates.iter().filter(|end| is_completed(end)).cloned().collect());
        updates
    }

    /// What the next report says of the backend server: `server`, unless the latest
    /// one said the same.
    pub(super) fn server_report(&mut self, server: ServerReport) -> ServerReport {
        if self.reported_server == server {
            return ServerReport::Unchanged;
        }
        self.reported_server = server.clone();
        server
    }

    /// What the next report, which says this of the backend server, says of its speed:
    /// nothing unless it has changed.
    pub(super) fn speed_report(
        &mut self,
        server: &ServerReport,
        speed: Option<SpeedReport>,
    ) -> Option<SpeedReport> {
        // The scheduler forgets the speed with the life.
        if !server.is_unchanged() {
            self.reported_speed = None;
        }
        let speed = speed.filter(|speed| match self.reported_speed {
            None => true,
            Some(reported) => {
                let jobs = reported.jobs.saturating_mul(REPORTED_JOBS_FACTOR);
                differs(reported, *speed, REPORTED_SPEED_FACTOR)
                    || speed.jobs.min(MAX_REPORTED_JOBS) >= jobs
            }
        });
        self.reported_speed = speed.or(self.reported_speed);
        speed
    }

    /// What the next report, which says this of the backend server, says of pairs of kinds:
    /// those that differ from what the scheduler has, at most once in [`PAIR_INTERVAL`].
    pub(super) fn pair_reports(
        &mut self,
        now: Instant,
        server: &ServerReport,
        kinds: Option<&KindSamples>,
    ) -> Vec<PairReport> {
        // The scheduler may have lost the sums with the session or the life.
        if !server.is_unchanged() {
            self.reported_pairs.clear();
            self.pairs_reported_at = None;
        }
        let Some(kinds) = kinds else { return Vec::new() };
        if self.pairs_reported_at.is_some_and(|at| now < at + PAIR_INTERVAL) {
            return Vec::new();
        }
        let mut reports = Vec::new();
        for (first, second, sums) in kinds.sums(now) {
            let key = (first.clone(), second.clone());
            let known = self.reported_pairs.get(&key).map(|known| known.decayed(now));
            let is_known = known
                .is_some_and(|known| !sums.differs(&known, REPORTED_WEIGHT_SHARE, REPORTED_EXCESS));
            if let Some(report) = sums.report(first, second).filter(|_| !is_known) {
                self.reported_pairs.insert(key, sums);
                reports.push(report);
            }
        }
        self.pairs_reported_at = Some(now);
        reports
    }

    /// Takes the kinds whose presence the scheduler wants to know.
    pub(super) fn watch_kinds(&mut self, mut kinds: Vec<QueueId>) {
        kinds.truncate(MAX_WATCHED_KINDS);
        self.watched_kinds = kinds;
    }

    /// What the next report says of the watched kinds that other schedulers run: nothing
    /// unless that has changed.
    pub(super) fn other_kinds(
        &mut self,
        find: impl FnOnce(&[QueueId]) -> Vec<QueueId>,
    ) -> Option<Vec<QueueId>> {
        if self.watched_kinds.is_empty() && self.reported_kinds.is_empty() {
            return None;
        }
        let kinds = find(&self.watched_kinds);
        if kinds == self.reported_kinds {
            return None;
        }
        self.reported_kinds = kinds.clone();
        Some(kinds)
    }

    /// Requires that a notable change of the speed is reported soon.
    pub(super) fn require_speed_report(&mut self, now: Instant) {
        if self.session.is_some() {
            self.require_report(now, UpdateUrgency::Eventually);
        }
    }

    /// Time at which the updates, or a changed usage by other schedulers, have to be
    /// reported.
    pub(super) fn next_report(&self, other_usage: &ResourceAmount) -> Option<Instant> {
        if !self.accepts_report() {
            return None;
        }
        let usage_due = match self.reported_at {
            Some(at) if *other_usage != self.reported_usage => Some(at + self.usage_interval),
            _ => None,
        };
        self.updates_due.into_iter().chain(usage_due).min()
    }
}

/// Whether an update is the end of a run that has done its task.
fn is_completed(update: &RunUpdate) -> bool {
    matches!(update, RunUpdate::Ended { kind: EndKind::Done, .. })
}
