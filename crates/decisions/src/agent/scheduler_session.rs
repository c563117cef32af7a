//! An agent's dealings with one scheduler: its connection, its grant, and what
//! it has yet to be told.

use std::time::{Duration, Instant};

use model::{RoomSize, RunNews, SessionId, Term};

#[derive(Debug, Clone, Default)]
pub(super) struct SchedulerSession {
    /// The connection, while there is one.
    pub(super) session: Option<SessionId>,
    /// Whether the next report must list every run.
    pub(super) must_list_runs: bool,
    pub(super) needs_report: bool,
    pub(super) report_in_flight: bool,
    pub(super) term: Term,
    pub(super) grant_until: Option<Instant>,
    pub(super) updates: Vec<RunNews>,
    /// Least time between two reports of others' room alone.
    pub(super) usage_interval: Duration,
    reported_usage: RoomSize,
    reported_at: Option<Instant>,
}

impl SchedulerSession {
    pub(super) fn open(&mut self, session: SessionId, updates: Vec<RunNews>) {
        self.session = Some(session);
        self.must_list_runs = true;
        self.needs_report = true;
        self.report_in_flight = false;
        self.updates = updates;
    }

    /// The connection is gone; the grant goes on until it is over.
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

    /// Whether a report is due; `others` is the room that others take now.
    pub(super) fn is_report_due(&self, now: Instant, other_usage: &RoomSize) -> bool {
        if self.session.is_none() || self.report_in_flight {
            return false;
        }
        let interval_over = self.reported_at.is_none_or(|at| at + self.usage_interval <= now);
        self.needs_report
            || !self.updates.is_empty()
            || (interval_over && *other_usage != self.reported_usage)
    }

    pub(super) fn on_report_sent(&mut self, now: Instant, other_usage: RoomSize) {
        self.must_list_runs = false;
        self.needs_report = false;
        self.report_in_flight = true;
        self.reported_usage = other_usage;
        self.reported_at = Some(now);
    }

    /// When others' room may be reported again, if it has changed.
    pub(super) fn next_report(&self, other_usage: &RoomSize) -> Option<Instant> {
        let changed =
            self.session.is_some() && !self.report_in_flight && *other_usage != self.reported_usage;
        changed.then(|| self.reported_at.map(|at| at + self.usage_interval)).flatten()
    }
}
