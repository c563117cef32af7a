//! Decides what an agent asks of its backend server: runs start and stop on
//! the scheduling host's orders, and their lease is renewed only while that
//! host's grant lasts.
//!
//! Invariants:
//! - orders of an earlier term, or for another life, start nothing;
//! - what is being stopped takes room until its end is listed;
//! - a start without an answer is barred by a stop, and reported as not
//!   started only when a later list shows neither run nor end of it;
//! - ends are reported until the scheduling host has recorded them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    AgentOrder, AgentOrders, AgentReport, EndKind, EndNumber, EventLine, Incarnation, LifeId,
    ListedEnd, NodeId, RoomSize, RunNews, ServerAnswer, ServerBeat, ServerCall, ServerWish,
    SessionId, StartRefusal, TaskRun, Term,
};

use super::server_life::{RunPhase, ServerLife};

/// Times that the run table goes by.
#[derive(Debug, Clone, Copy)]
pub struct RunLimits {
    /// How long a backend server keeps runs at work without a renewal.
    pub lease: Duration,
    /// How long a hold may wait for an end.
    pub hold_wait: Duration,
    /// Pause between holds that bring nothing new.
    pub hold_gap: Duration,
    /// Pause before a call without an answer is made again.
    pub retry_gap: Duration,
}

/// Clocks of two hosts, or of a host and its backend server, drift apart by
/// less than this share.
pub(super) const DRIFT_SHARE: f64 = 0.05;

/// What an agent's run service does next.
#[derive(Debug, Clone, PartialEq)]
pub enum RunStep {
    /// Calls the backend server.
    Call(ServerCall),
    /// Reports to the scheduling host.
    Report(AgentReport),
    /// Writes a log line.
    Note(EventLine),
}

/// Runs on the backend server of one agent.
#[derive(Debug, Clone)]
pub struct RunTable {
    agent: NodeId,
    incarnation: Incarnation,
    limits: RunLimits,
    started_at: Instant,
    life: Option<ServerLife>,
    session: Option<SessionId>,
    /// Whether the next report must list every run.
    owes_runs: bool,
    report_out: bool,
    owes_report: bool,
    term: Term,
    grant_until: Option<Instant>,
    news: Vec<RunNews>,
    steps: Vec<RunStep>,
}

impl RunTable {
    /// A table that knows of no backend server yet.
    pub fn new(
        now: Instant,
        agent: NodeId,
        incarnation: Incarnation,
        limits: RunLimits,
    ) -> RunTable {
        RunTable {
            agent,
            incarnation,
            limits,
            started_at: now,
            life: None,
            session: None,
            owes_runs: true,
            report_out: false,
            owes_report: false,
            term: 0,
            grant_until: None,
            news: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// The backend server's heartbeat. One that is late says nothing.
    pub fn on_beat(&mut self, now: Instant, beat: &ServerBeat) -> Vec<RunStep> {
        match &mut self.life {
            Some(life) if life.instance == beat.instance && life.born == beat.born => {
                if life.sequence < beat.sequence {
                    life.sequence = beat.sequence;
                    self.owes_report |= life.view != beat.view;
                    life.view = beat.view.clone();
                    life.address = beat.address;
                }
            }
            Some(life) if beat.born < life.born => {}
            _ => self.begin_life(now, beat),
        }
        self.finish(now)
    }

    fn begin_life(&mut self, now: Instant, beat: &ServerBeat) {
        self.end_life("another life began");
        let line = EventLine::new("server_life")
            .with("life", &beat.view.life)
            .with("address", beat.address)
            .with("cpu_milli", beat.view.room.cpu_milli);
        self.steps.push(RunStep::Note(line));
        self.life = Some(ServerLife::new(now, beat));
    }

    /// The backend server says that it ends.
    pub fn on_leave(&mut self, now: Instant, instance: &LifeId) -> Vec<RunStep> {
        if self.life.as_ref().is_some_and(|life| life.instance == *instance) {
            self.end_life("it left");
        }
        self.finish(now)
    }

    /// Nothing of a life that ended is at work any more.
    fn end_life(&mut self, reason: &str) {
        let Some(life) = self.life.take() else { return };
        let line = EventLine::new("server_life_ended")
            .with("life", &life.view.life)
            .with("reason", reason)
            .with("runs", life.runs.len());
        self.steps.push(RunStep::Note(line));
        for run in life.runs.into_keys() {
            self.news.push(RunNews::Ended { number: 0, run, kind: EndKind::Lapsed });
        }
        self.owes_runs = true;
        self.owes_report = true;
    }

    /// A connection to the scheduling host was opened.
    pub fn on_session(&mut self, now: Instant, session: Option<SessionId>) -> Vec<RunStep> {
        self.session = session;
        self.report_out = false;
        self.owes_runs = true;
        self.owes_report = true;
        self.news.clear();
        if let Some(life) = &self.life {
            self.news.extend(life.unnoted.iter().map(news_of));
        }
        self.finish(now)
    }

    /// The scheduling host took the latest report.
    pub fn on_report_taken(&mut self, now: Instant, session: SessionId) -> Vec<RunStep> {
        if self.session == Some(session) {
            self.report_out = false;
        }
        self.finish(now)
    }

    /// The scheduling host's orders.
    pub fn on_orders(
        &mut self,
        now: Instant,
        session: SessionId,
        asked_at: Instant,
        orders: AgentOrders,
    ) -> Vec<RunStep> {
        if self.session != Some(session) || orders.term < self.term {
            return Vec::new();
        }
        self.term = orders.term;
        let grant = Duration::from_millis(orders.grant_ms).mul_f64(1.0 - DRIFT_SHARE);
        self.grant_until = self.grant_until.max(Some(asked_at + grant));
        if let (Some(noted), Some(life)) = (&orders.noted, &mut self.life)
            && noted.life == life.view.life
        {
            life.note_upto(noted.upto);
        }
        for order in orders.orders {
            match order {
                AgentOrder::Start { life, runs, spec, size } => {
                    self.start(now, &life, runs, &Arc::from(spec), size);
                }
                AgentOrder::Stop { run } => self.stop(now, run),
            }
        }
        self.finish(now)
    }

    fn start(
        &mut self,
        now: Instant,
        life: &LifeId,
        runs: Vec<TaskRun>,
        spec: &Arc<str>,
        size: RoomSize,
    ) {
        for run in runs {
            match self.refusal(life, &size) {
                Some(refusal) => self.news.push(RunNews::Refused { run, refusal }),
                None => {
                    let wish = ServerWish::Start { run: run.clone(), spec: Arc::clone(spec) };
                    if let Some(life) = &mut self.life {
                        life.add_run(run, size, RunPhase::Starting);
                    }
                    self.call(now, wish);
                }
            }
        }
    }

    fn refusal(&self, wanted: &LifeId, size: &RoomSize) -> Option<StartRefusal> {
        let Some(life) = self.life.as_ref().filter(|life| life.view.life == *wanted) else {
            return Some(StartRefusal::Gone);
        };
        if life.view.draining || !life.listed {
            return Some(StartRefusal::Gone);
        }
        (!life.free_room().holds(size)).then_some(StartRefusal::Room)
    }

    fn stop(&mut self, now: Instant, run: TaskRun) {
        let Some(life) = &mut self.life else { return };
        life.add_run(run.clone(), RoomSize::default(), RunPhase::Stopping { retry_at: None });
        self.call(now, ServerWish::Stop { run });
    }

    /// Makes a call; what it lets run is covered by the grant.
    fn call(&mut self, now: Instant, wish: ServerWish) {
        let grant_left =
            self.grant_until.map(|until| until.saturating_duration_since(now)).unwrap_or_default();
        let lease = self.limits.lease.min(grant_left);
        let Some(life) = &mut self.life else { return };
        let lease_until = life.extend_lease(now, lease);
        let call = ServerCall {
            address: life.address,
            life: life.view.life.clone(),
            instance: life.instance.clone(),
            fence: self.term,
            lease_until,
            wish,
        };
        self.steps.push(RunStep::Call(call));
    }

    /// A call to the backend server ended.
    pub fn on_answer(
        &mut self,
        now: Instant,
        call: &ServerCall,
        clock: Option<(Duration, Instant)>,
        answer: ServerAnswer,
    ) -> Vec<RunStep> {
        let Some(life) = self.life.as_mut().filter(|life| life.view.life == call.life) else {
            return Vec::new();
        };
        life.learn_clock(clock);
        if answer == ServerAnswer::Refused(StartRefusal::Gone) {
            self.end_life("another instance answered");
            return self.finish(now);
        }
        match &call.wish {
            ServerWish::Start { run, .. } => self.on_start_answer(now, run, &answer),
            ServerWish::Stop { run } => self.on_stop_answer(now, run, &answer),
            ServerWish::Hold { .. } => self.on_hold_answer(now, answer),
        }
        self.finish(now)
    }

    fn on_start_answer(&mut self, now: Instant, run: &TaskRun, answer: &ServerAnswer) {
        let Some(life) = &mut self.life else { return };
        let Some(state) = life.runs.get_mut(run) else { return };
        if state.phase != RunPhase::Starting {
            return;
        }
        match answer {
            ServerAnswer::Refused(refusal) => {
                life.runs.swap_remove(run);
                self.news.push(RunNews::Refused { run: run.clone(), refusal: *refusal });
            }
            ServerAnswer::NoAnswer => {
                let line = EventLine::new("start_in_doubt").with("run", run);
                self.steps.push(RunStep::Note(line));
                state.phase = RunPhase::Stopping { retry_at: None };
                self.call(now, ServerWish::Stop { run: run.clone() });
            }
            _ => {
                state.phase = RunPhase::Running { since_hold: life.holds_sent };
                let line = EventLine::new("run_started").with("run", run);
                self.steps.push(RunStep::Note(line));
            }
        }
    }

    fn on_stop_answer(&mut self, now: Instant, run: &TaskRun, answer: &ServerAnswer) {
        let Some(life) = &mut self.life else { return };
        let holds_sent = life.holds_sent;
        let Some(state) = life.runs.get_mut(run) else { return };
        state.phase = match answer {
            ServerAnswer::NoAnswer => {
                RunPhase::Stopping { retry_at: Some(now + self.limits.retry_gap) }
            }
            _ => RunPhase::Barred { since_hold: holds_sent },
        };
    }

    fn on_hold_answer(&mut self, now: Instant, answer: ServerAnswer) {
        let gap = self.limits.hold_gap;
        let Some(life) = &mut self.life else { return };
        life.hold_out = false;
        let ServerAnswer::Lists { running, ended } = answer else {
            life.hold_at = now + self.limits.retry_gap;
            life.hold_failed = true;
            return;
        };
        life.hold_failed = false;
        if !life.listed {
            life.listed = true;
            self.owes_report = true;
        }
        let fresh = life.take_lists(&running, ended);
        life.hold_at = if fresh.is_empty() { now + gap } else { now };
        for news in &fresh {
            self.steps.push(RunStep::Note(news_line(news)));
        }
        self.news.extend(fresh);
    }

    /// Deals with what time alone brings.
    pub fn on_tick(&mut self, now: Instant) -> Vec<RunStep> {
        self.finish(now)
    }

    fn finish(&mut self, now: Instant) -> Vec<RunStep> {
        self.lapse_if_over(now);
        self.retry_stops(now);
        self.hold_if_due(now);
        self.report_if_due(now);
        std::mem::take(&mut self.steps)
    }

    /// Without a renewal for longer than the lease everything there is over.
    fn lapse_if_over(&mut self, now: Instant) {
        let Some(life) = self.life.as_mut().filter(|life| life.has_lapsed(now)) else { return };
        life.listed = false;
        life.lease_over_at = None;
        let runs: IndexMap<TaskRun, _> = std::mem::take(&mut life.runs);
        let line = EventLine::new("lease_lapsed")
            .with("life", &life.view.life)
            .with("runs", runs.len())
            .with("hold_failed", life.hold_failed);
        self.steps.push(RunStep::Note(line));
        for run in runs.into_keys() {
            self.news.push(RunNews::Ended { number: 0, run, kind: EndKind::Lapsed });
        }
        self.owes_report = true;
    }

    fn retry_stops(&mut self, now: Instant) {
        let Some(life) = &mut self.life else { return };
        let mut due = Vec::new();
        for (run, state) in &mut life.runs {
            if let RunPhase::Stopping { retry_at: Some(at) } = state.phase
                && at <= now
            {
                state.phase = RunPhase::Stopping { retry_at: None };
                due.push(run.clone());
            }
        }
        for run in due {
            self.call(now, ServerWish::Stop { run });
        }
    }

    fn hold_if_due(&mut self, now: Instant) {
        let Some(life) = &mut self.life else { return };
        if life.hold_out || life.hold_at > now {
            return;
        }
        life.hold_out = true;
        life.holds_sent += 1;
        let wait = if life.hold_failed || !life.listed {
            Duration::ZERO
        } else {
            self.limits.hold_wait
        };
        let noted = life.noted;
        self.call(now, ServerWish::Hold { noted, wait });
    }

    /// One report is on its way at a time; what is new meanwhile goes with the
    /// next.
    fn report_if_due(&mut self, now: Instant) {
        let Some(session) = self.session else { return };
        if self.report_out || !(self.owes_report || !self.news.is_empty()) {
            return;
        }
        if !self.knows_runs(now) {
            return;
        }
        let life = self.life.as_ref().filter(|life| life.listed);
        let runs = self.owes_runs.then(|| {
            self.life.as_ref().map(|life| life.runs.keys().cloned().collect()).unwrap_or_default()
        });
        let report = AgentReport {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            session,
            server: life.map(|life| life.view.clone()),
            runs,
            news: std::mem::take(&mut self.news),
        };
        self.owes_runs = false;
        self.owes_report = false;
        self.report_out = true;
        self.steps.push(RunStep::Report(report));
    }

    /// A new agent may say what runs once the backend server listed it, or
    /// once everything that ran before has surely lapsed.
    fn knows_runs(&self, now: Instant) -> bool {
        let lapsed_at = self.started_at + self.limits.lease.mul_f64(1.0 + DRIFT_SHARE) * 2;
        self.life.as_ref().is_some_and(|life| life.listed) || now >= lapsed_at
    }

    /// When [`RunTable::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        let start = self.started_at + self.limits.lease.mul_f64(1.0 + DRIFT_SHARE) * 2;
        let first = (self.session.is_some() && self.owes_runs && !self.report_out)
            .then_some(start);
        let life = self.life.as_ref().and_then(ServerLife::next_deadline);
        [first, life].into_iter().flatten().min()
    }

    /// Runs that may be at work.
    pub fn runs(&self) -> usize {
        self.life.as_ref().map_or(0, |life| life.runs.len())
    }
}

fn news_line(news: &RunNews) -> EventLine {
    match news {
        RunNews::Ended { number, run, kind } => {
            EventLine::new("run_ended").with("run", run).with("kind", kind).with("number", number)
        }
        RunNews::Refused { run, refusal } => {
            EventLine::new("run_not_started").with("run", run).with("cause", refusal)
        }
    }
}

/// An end as it is reported.
fn news_of(end: &ListedEnd) -> RunNews {
    RunNews::Ended { number: end.number, run: end.run.clone(), kind: end.kind }
}

/// Positions of ends rise without gaps within a life.
pub(super) fn is_new(end: &ListedEnd, seen: EndNumber) -> bool {
    end.number > seen
}
