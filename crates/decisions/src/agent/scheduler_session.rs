//! Owns an agent's state for one scheduler: connection, grant and unsent
//! updates. The grant outlives the connection until it expires.

use std::time::{Duration, Instant};

use model::{ResourceAmount, RunUpdate, SessionId, Term};

/// Session with one scheduler.
#[derive(Debug, Clone, Default)]
pub(super) struct SchedulerSession {
    /// Id of the open connection, if there is one.
    pub(super) session: Option<SessionId>,
    /// Whether the next report must list all runs.
    pub(super) must_list_runs: bool,
    pub(super) needs_report: bool,
    /// Whether a report is sent and not answered yet.
    pub(super) report_in_flight: bool,
    /// Highest term seen; orders of earlier terms are ignored.
    pub(super) term: Term,
    /// Time until which runs of this scheduler may stay active.
    pub(super) grant_until: Option<Instant>,
    /// Updates to send with the next report.
    pub(super) updates: Vec<RunUpdate>,
    /// Minimum time between reports that carry only a changed usage by other
    /// schedulers.
    pub(super) usage_interval: Duration,
    /// Usage by other schedulers in the latest report.
    reported_usage: ResourceAmount,
    reported_at: Option<Instant>,
}

impl SchedulerSession {
    /// Starts a session; its first report lists all runs.
    pub(super) fn open(&mut self, session: SessionId, updates: Vec<RunUpdate>) {
        self.session = Some(session);
        self.must_list_runs = true;
        self.needs_report = true;
        self.report_in_flight = false;
        self.updates = updates;
    }

    /// Ends a session; the grant stays valid until it expires.
    pub(super) fn close(&mut self, session: SessionId) {
        if self.session == Some(session) {
            self.session = None;
            self.report_in_flight = false;
            self.updates.clear();
        }
    }

    pub(super) fn remaining_grant(&self, now: Instant) -> Duration {
        self.grant_until.map(|until| until.saturating_duration_since(now)).unwrap_or_default()
    }

    /// Whether a report is due; `other_usage` is the current usage by other
    /// schedulers.
    pub(super) fn is_report_due(&self, now: Instant, other_usage: &ResourceAmount) -> bool {
        if self.session.is_none() || self.report_in_flight {
            return false;
        }
        let interval_over = self.reported_at.is_none_or(|at| at + self.usage_interval <= now);
        self.needs_report
            || !self.updates.is_empty()
            || (interval_over && *other_usage != self.reported_usage)
    }

    /// Records that a report with this usage is sent.
    pub(super) fn on_report_sent(&mut self, now: Instant, other_usage: ResourceAmount) {
        self.must_list_runs = false;
        self.needs_report = false;
        self.report_in_flight = true;
        self.reported_usage = other_usage;
        self.reported_at = Some(now);
    }

    /// Time at which a changed usage by other schedulers may be reported.
    pub(super) fn next_report(&self, other_usage: &ResourceAmount) -> Option<Instant> {
        let changed =
            self.session.is_some() && !self.report_in_flight && *other_usage != self.reported_usage;
        changed.then(|| self.reported_at.map(|at| at + self.usage_interval)).flatten()
    }
}
