//! Owns an agent's state for one scheduler: connection, grant and unsent
//! updates. The grant outlives the connection until it expires.
//!
//! An update that the scheduler has to act on is reported at once. One that only
//! releases capacity, or asks for a claim that the scheduler most likely doesn't hold, waits
//! for a short time, so that it goes with others.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{
    ClaimUpdate, EndKind, MAX_UNACKED_REPORTS, ResourceAmount, RunUpdate, ServerReport, SessionId,
    SpeedReport, Term,
};

use super::server_speed::differs;

/// How long an update that is not urgent may wait for others.
const JOINED_UPDATE_DELAY: Duration = Duration::from_millis(20);

/// How long an update that nothing waits for may wait for others.
const EVENTUAL_UPDATE_DELAY: Duration = Duration::from_millis(400);

/// Interval of reports of changed usage until the scheduler has named its own.
const INITIAL_USAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of ends that wait for an entry to connect again.
const MAX_KEPT_ENDS: usize = 500;

/// Change of the backend server's speed that is reported.
const REPORTED_SPEED_FACTOR: f64 = 1.05;

/// Factor by which the number of jobs that the speed is based on has to rise to be reported.
const REPORTED_JOBS_FACTOR: u32 = 2;

/// Number of jobs above which a rise isn't reported.
const MAX_REPORTED_JOBS: u32 = 64;

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
        self.needs_report = true;
        self.unacked_reports = 0;
        self.usage_interval = self.usage_interval.max(INITIAL_USAGE_INTERVAL);
        self.updates = updates;
        self.claim_updates.clear();
        self.updates_due = None;
        self.notified_active = None;
        self.reported_server = ServerReport::Unchanged;
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

    /// Takes the updates for a report with this usage, which is sent now.
    pub(super) fn take_updates(
        &mut self,
        now: Instant,
        other_usage: ResourceAmount,
    ) -> Vec<RunUpdate> {
        self.must_list_runs = false;
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
