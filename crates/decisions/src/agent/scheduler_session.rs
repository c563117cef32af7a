//! An agent's dealings with one scheduler: its connection, its grant, and what
//! it has yet to be told.

use std::time::{Duration, Instant};

use model::{RoomSize, RunNews, SessionId, Term};

#[derive(Debug, Clone, Default)]
pub(super) struct SchedulerSession {
    /// The connection, while there is one.
    pub(super) session: Option<SessionId>,
    /// Whether the next report must list every run.
    pub(super) owes_runs: bool,
    pub(super) owes_report: bool,
    pub(super) report_out: bool,
    pub(super) term: Term,
    pub(super) grant_until: Option<Instant>,
    pub(super) news: Vec<RunNews>,
    /// Least time between two reports of others' room alone.
    pub(super) room_gap: Duration,
    told_others: RoomSize,
    told_at: Option<Instant>,
}

impl SchedulerSession {
    pub(super) fn open(&mut self, session: SessionId, news: Vec<RunNews>) {
        self.session = Some(session);
        self.owes_runs = true;
        self.owes_report = true;
        self.report_out = false;
        self.news = news;
    }

    /// The connection is gone; the grant goes on until it is over.
    pub(super) fn close(&mut self, session: SessionId) {
        if self.session == Some(session) {
            self.session = None;
            self.report_out = false;
            self.news.clear();
        }
    }

    pub(super) fn grant_left(&self, now: Instant) -> Duration {
        self.grant_until.map(|until| until.saturating_duration_since(now)).unwrap_or_default()
    }

    /// Whether a report is due; `others` is the room that others take now.
    pub(super) fn wants_report(&self, now: Instant, others: &RoomSize) -> bool {
        if self.session.is_none() || self.report_out {
            return false;
        }
        let rested = self.told_at.is_none_or(|at| at + self.room_gap <= now);
        self.owes_report || !self.news.is_empty() || (rested && *others != self.told_others)
    }

    pub(super) fn note_report(&mut self, now: Instant, others: RoomSize) {
        self.owes_runs = false;
        self.owes_report = false;
        self.report_out = true;
        self.told_others = others;
        self.told_at = Some(now);
    }

    /// When others' room may be reported again, if it has changed.
    pub(super) fn next_report(&self, others: &RoomSize) -> Option<Instant> {
        let changed = self.session.is_some() && !self.report_out && *others != self.told_others;
        changed.then(|| self.told_at.map(|at| at + self.room_gap)).flatten()
    }
}
