//! One agent as the scheduler knows it: its backend server, the room that is
//! taken there, how fast it is, and what is on its way to it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{
    AgentOrder, CallId, EndNumber, Incarnation, LifeId, NotedEnds, RoomSize, ServerView, SessionId,
    TaskRun,
};

use super::speed_estimate::LearntSpeed;

/// Failed runs in a row after which a backend server is given a pause.
const FAILURES_BEFORE_PAUSE: u32 = 3;
/// Pause of a backend server that fails what it is given.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// An end that the backend server still lists.
#[derive(Debug, Clone, PartialEq)]
struct PendingEnd {
    number: EndNumber,
    run: TaskRun,
    recorded: bool,
}

/// A poll that waits for orders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ParkedPoll {
    pub(super) call: CallId,
    pub(super) since: Instant,
}

/// One agent.
#[derive(Debug, Clone)]
pub struct AgentState {
    pub(super) incarnation: Incarnation,
    pub(super) session: SessionId,
    pub(super) last_contact: Instant,
    pub(super) server: Option<ServerView>,
    pub(super) usage: RoomSize,
    /// Room that other schedulers' runs take, as last reported.
    pub(super) other_usage: RoomSize,
    /// Version of the entries' list that the agent has.
    pub(super) sent_entries_version: u64,
    pub(super) parked: Option<ParkedPoll>,
    pub(super) outbox: Vec<AgentOrder>,
    pub(super) paused_until: Option<Instant>,
    speed: LearntSpeed,
    failures_in_row: u32,
    pending: VecDeque<PendingEnd>,
    acked_upto: EndNumber,
    sent_ack_upto: EndNumber,
}

impl AgentState {
    pub(super) fn new(now: Instant, incarnation: Incarnation, session: SessionId) -> AgentState {
        AgentState {
            incarnation,
            session,
            last_contact: now,
            server: None,
            usage: RoomSize::default(),
            other_usage: RoomSize::default(),
            sent_entries_version: 0,
            parked: None,
            outbox: Vec::new(),
            paused_until: None,
            speed: LearntSpeed::new(now),
            failures_in_row: 0,
            pending: VecDeque::new(),
            acked_upto: 0,
            sent_ack_upto: 0,
        }
    }

    /// Room that no run takes.
    pub fn free_capacity(&self) -> RoomSize {
        let all = self.server.as_ref().map(|server| server.room).unwrap_or_default();
        all.without(&self.usage).without(&self.other_usage)
    }

    /// Share of the room that is taken.
    pub(super) fn utilization(&self) -> f64 {
        let all = self.server.as_ref().map_or(0, |server| server.room.cpu_milli);
        1.0 - self.free_capacity().cpu_milli as f64 / all.max(1) as f64
    }

    /// Run time here over the estimate, as learnt from what ran.
    pub fn slowness(&self) -> f64 {
        self.speed.slowness()
    }

    pub(super) fn life(&self) -> Option<&LifeId> {
        self.server.as_ref().map(|server| &server.life)
    }

    /// Whether it takes new work now.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        let unpaused = self.paused_until.is_none_or(|until| until <= now);
        unpaused && self.server.as_ref().is_some_and(|server| !server.draining)
    }

    /// A new life begins: nothing of the old one counts.
    pub(super) fn begin_life(&mut self, now: Instant) {
        self.pending.clear();
        self.acked_upto = 0;
        self.sent_ack_upto = 0;
        self.usage = RoomSize::default();
        self.failures_in_row = 0;
        self.paused_until = None;
        self.speed = LearntSpeed::new(now);
    }

    /// Gives up everything that belongs to a connection.
    pub(super) fn begin_session(&mut self, incarnation: Incarnation, session: SessionId) {
        self.incarnation = incarnation;
        self.session = session;
        self.outbox.clear();
        self.parked = None;
        self.sent_ack_upto = 0;
        self.sent_entries_version = 0;
    }

    /// A run ended as done.
    pub(super) fn learn_run_time(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        self.speed.learn_end(now, ran, estimate);
        self.failures_in_row = 0;
    }

    /// A run has not ended after this time.
    pub(super) fn learn_overdue(&mut self, now: Instant, ran: Duration, estimate: Duration) {
        self.speed.learn_overdue(now, ran, estimate);
    }

    /// Forgets slowness of which nothing was seen for a while.
    pub(super) fn recover(&mut self, now: Instant) {
        self.speed.recover(now);
    }

    /// A run failed, or was refused by an unhealthy backend server.
    pub(super) fn learn_failure(&mut self, now: Instant) {
        self.failures_in_row += 1;
        if self.failures_in_row >= FAILURES_BEFORE_PAUSE {
            self.paused_until = Some(now + FAILURE_PAUSE);
        }
    }

    pub(super) fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// An end was listed; `false` when it is known already.
    pub(super) fn list_end(&mut self, number: EndNumber, run: &TaskRun) -> bool {
        if number == 0 {
            return true;
        }
        let known =
            number <= self.acked_upto || self.pending.iter().any(|end| end.number == number);
        if !known {
            self.pending.push_back(PendingEnd { number, run: run.clone(), recorded: false });
        }
        !known
    }

    /// The end of a run is recorded durably.
    pub(super) fn record_end(&mut self, run: &TaskRun) {
        for end in self.pending.iter_mut().filter(|end| end.run == *run) {
            end.recorded = true;
        }
        while self.pending.front().is_some_and(|end| end.recorded) {
            self.acked_upto = self.pending.pop_front().map_or(self.acked_upto, |end| end.number);
        }
    }

    pub(super) fn has_unsent_ack(&self) -> bool {
        self.acked_upto > self.sent_ack_upto
    }

    pub(super) fn take_ack(&mut self) -> Option<NotedEnds> {
        self.sent_ack_upto = self.acked_upto;
        let life = self.life()?.clone();
        (self.acked_upto > 0).then_some(NotedEnds { life, upto: self.acked_upto })
    }
}
