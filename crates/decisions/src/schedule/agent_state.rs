//! One agent as the scheduler knows it: its backend server, the room that is
//! taken there, how fast it is, and what is on its way to it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::{
    AgentOrder, CallId, EndNumber, Incarnation, LifeId, NotedEnds, RoomSize, ServerView, SessionId,
    TaskRun,
};

use super::learnt_speed::LearntSpeed;

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
    pub(super) heard_at: Instant,
    pub(super) server: Option<ServerView>,
    pub(super) taken: RoomSize,
    /// Room that other schedulers' runs take, as last reported.
    pub(super) others: RoomSize,
    /// Version of the entries' list that the agent has.
    pub(super) entries_told: u64,
    pub(super) parked: Option<ParkedPoll>,
    pub(super) outbox: Vec<AgentOrder>,
    pub(super) paused_until: Option<Instant>,
    speed: LearntSpeed,
    failures_in_row: u32,
    pending: VecDeque<PendingEnd>,
    noted: EndNumber,
    noted_told: EndNumber,
}

impl AgentState {
    pub(super) fn new(now: Instant, incarnation: Incarnation, session: SessionId) -> AgentState {
        AgentState {
            incarnation,
            session,
            heard_at: now,
            server: None,
            taken: RoomSize::default(),
            others: RoomSize::default(),
            entries_told: 0,
            parked: None,
            outbox: Vec::new(),
            paused_until: None,
            speed: LearntSpeed::new(now),
            failures_in_row: 0,
            pending: VecDeque::new(),
            noted: 0,
            noted_told: 0,
        }
    }

    /// Room that no run takes.
    pub fn free_room(&self) -> RoomSize {
        let all = self.server.as_ref().map(|server| server.room).unwrap_or_default();
        all.without(&self.taken).without(&self.others)
    }

    /// Share of the room that is taken.
    pub(super) fn crowding(&self) -> f64 {
        let all = self.server.as_ref().map_or(0, |server| server.room.cpu_milli);
        1.0 - self.free_room().cpu_milli as f64 / all.max(1) as f64
    }

    /// Run time here over the estimate, as learnt from what ran.
    pub fn slowness(&self) -> f64 {
        self.speed.slowness()
    }

    pub(super) fn life(&self) -> Option<&LifeId> {
        self.server.as_ref().map(|server| &server.life)
    }

    /// Whether it takes new work now.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        let awake = self.paused_until.is_none_or(|until| until <= now);
        awake && self.server.as_ref().is_some_and(|server| !server.draining)
    }

    /// A new life begins: nothing of the old one counts.
    pub(super) fn begin_life(&mut self, now: Instant) {
        self.pending.clear();
        self.noted = 0;
        self.noted_told = 0;
        self.taken = RoomSize::default();
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
        self.noted_told = 0;
        self.entries_told = 0;
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
        let known = number <= self.noted || self.pending.iter().any(|end| end.number == number);
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
            self.noted = self.pending.pop_front().map_or(self.noted, |end| end.number);
        }
    }

    pub(super) fn has_news(&self) -> bool {
        self.noted > self.noted_told
    }

    pub(super) fn tell_noted(&mut self) -> Option<NotedEnds> {
        self.noted_told = self.noted;
        let life = self.life()?.clone();
        (self.noted > 0).then_some(NotedEnds { life, upto: self.noted })
    }
}
