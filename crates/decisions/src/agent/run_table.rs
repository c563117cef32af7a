//! Decides what an agent asks of its backend server: runs start and stop on
//! the orders of schedulers, and each is kept at work only while its
//! scheduler's grant lasts.
//!
//! Invariants:
//! - orders of an earlier term, or for another life, start nothing;
//! - what is being stopped takes room until its end is listed;
//! - a start without an answer is barred by a stop, and reported as not
//!   started only when a later list shows neither run nor end of it;
//! - a run is stopped when the grant of its scheduler is over;
//! - ends are reported until control has recorded those that concern it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::{
    AgentOrder, AgentOrders, AgentReport, EntryHost, EventLine, FenceNumber, Incarnation, LifeId,
    NodeId, RoomSize, RunNews, SchedulerKey, ServerBeat, ServerCall, ServerWish, SessionId,
    StartRefusal, TaskRun,
};

use super::scheduler_session::SchedulerSession;
use super::server_life::{OwnedUpdate, RunPhase, RunState, ServerLife};

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
    /// How long a run of an unknown scheduler waits for one to claim it.
    pub claim_wait: Duration,
}

/// Clocks of two hosts, or of a host and its backend server, drift apart by
/// less than this share.
pub(super) const MAX_CLOCK_DRIFT: f64 = 0.05;

/// What an agent's run service does next.
#[derive(Debug, Clone, PartialEq)]
pub enum RunStep {
    /// Calls the backend server.
    Call(ServerCall),
    /// Reports to a scheduler.
    Report(SchedulerKey, AgentReport),
    /// Connects to these entries.
    Connect(Vec<EntryHost>),
    /// Writes a log line.
    Note(EventLine),
}

/// Runs on the backend server of one agent.
#[derive(Debug, Clone)]
pub struct RunTable {
    pub(super) agent: NodeId,
    pub(super) incarnation: Incarnation,
    pub(super) limits: RunLimits,
    pub(super) started_at: Instant,
    /// Whether a backend server has listed what ran before this agent.
    pub(super) has_lists: bool,
    pub(super) life: Option<ServerLife>,
    pub(super) schedulers: IndexMap<SchedulerKey, SchedulerSession>,
    /// The agent alone calls its backend server: the token rises with each
    /// start of the agent.
    pub(super) fence: FenceNumber,
    pub(super) steps: Vec<RunStep>,
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
            has_lists: false,
            life: None,
            schedulers: IndexMap::new(),
            fence: incarnation,
            steps: Vec::new(),
        }
    }

    /// The backend server's heartbeat. One that is late says nothing.
    pub fn on_beat(&mut self, now: Instant, beat: &ServerBeat) -> Vec<RunStep> {
        match &mut self.life {
            Some(life) if life.instance == beat.instance && life.generation == beat.born => {
                if life.sequence < beat.sequence {
                    life.sequence = beat.sequence;
                    let changed = life.view != beat.view;
                    life.view = beat.view.clone();
                    life.address = beat.address;
                    self.require_reports(changed);
                }
            }
            Some(life) if beat.born < life.generation => {}
            _ => self.begin_life(now, beat),
        }
        self.finish(now)
    }

    pub(super) fn require_reports(&mut self, required: bool) {
        for session in self.schedulers.values_mut() {
            session.needs_report |= required;
        }
    }

    fn begin_life(&mut self, now: Instant, beat: &ServerBeat) {
        self.end_life("a newer life sent a heartbeat");
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
            self.end_life("backend server left");
        }
        self.finish(now)
    }

    /// Nothing of a life that ended is at work any more.
    pub(super) fn end_life(&mut self, reason: &str) {
        let Some(mut life) = self.life.take() else { return };
        let line = EventLine::new("server_life_ended")
            .with("life", &life.view.life)
            .with("reason", reason)
            .with("runs", life.runs.len());
        self.steps.push(RunStep::Note(line));
        self.notify(life.take_lapsed());
        for session in self.schedulers.values_mut() {
            session.must_list_runs = true;
            session.needs_report = true;
        }
    }

    /// Hands news to the schedulers that they are for; what is nobody's goes
    /// to all.
    pub(super) fn notify(&mut self, news: Vec<OwnedUpdate>) {
        for (owner, what) in news {
            self.steps.push(RunStep::Note(update_line(&what)));
            match owner {
                Some(owner) => self.notify_scheduler(&owner, what),
                None => {
                    for session in self.schedulers.values_mut() {
                        session.updates.push(what.clone());
                    }
                }
            }
        }
    }

    fn notify_scheduler(&mut self, scheduler: &SchedulerKey, news: RunNews) {
        if let Some(session) = self.schedulers.get_mut(scheduler)
            && session.session.is_some()
        {
            session.updates.push(news);
        }
    }

    /// A connection to a scheduler was opened.
    pub fn on_opened(
        &mut self,
        now: Instant,
        scheduler: SchedulerKey,
        session: SessionId,
    ) -> Vec<RunStep> {
        let life = self.life.as_ref();
        let updates = life.map(|life| life.unacked_of(&scheduler)).unwrap_or_default();
        self.schedulers.entry(scheduler).or_default().open(session, updates);
        self.finish(now)
    }

    /// A connection to a scheduler is gone.
    pub fn on_closed(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        session: SessionId,
    ) -> Vec<RunStep> {
        if let Some(known) = self.schedulers.get_mut(scheduler) {
            known.close(session);
        }
        self.finish(now)
    }

    /// A scheduler took the latest report.
    pub fn on_report_taken(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        session: SessionId,
    ) -> Vec<RunStep> {
        if let Some(known) = self.session_mut(scheduler, session) {
            known.report_in_flight = false;
        }
        self.finish(now)
    }

    fn session_mut(
        &mut self,
        scheduler: &SchedulerKey,
        session: SessionId,
    ) -> Option<&mut SchedulerSession> {
        self.schedulers.get_mut(scheduler).filter(|known| known.session == Some(session))
    }

    /// A scheduler's orders.
    pub fn on_orders(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        session: SessionId,
        asked_at: Instant,
        orders: AgentOrders,
    ) -> Vec<RunStep> {
        let Some(known) = self.session_mut(scheduler, session) else { return Vec::new() };
        if orders.term < known.term {
            return Vec::new();
        }
        known.term = orders.term;
        known.usage_interval = Duration::from_millis(orders.room_gap_ms);
        let grant = Duration::from_millis(orders.grant_ms).mul_f64(1.0 - MAX_CLOCK_DRIFT);
        known.grant_until = known.grant_until.max(Some(asked_at + grant));
        if let (Some(noted), Some(life)) = (&orders.noted, &mut self.life)
            && noted.life == life.view.life
        {
            life.ack_upto(noted.upto);
        }
        if let Some(entries) = orders.entries {
            self.steps.push(RunStep::Connect(entries));
        }
        for order in orders.orders {
            match order {
                AgentOrder::Start { life, runs, spec, size } => {
                    self.start(now, scheduler, &life, runs, &Arc::from(spec), size);
                }
                AgentOrder::Stop { run } => self.stop(now, run),
                AgentOrder::Keep { run } => self.keep(scheduler, &run),
            }
        }
        self.finish(now)
    }

    fn start(
        &mut self,
        now: Instant,
        scheduler: &SchedulerKey,
        life: &LifeId,
        runs: Vec<TaskRun>,
        spec: &Arc<str>,
        size: RoomSize,
    ) {
        for run in runs {
            if let Some(refusal) = self.refusal(life, &size) {
                self.notify_scheduler(scheduler, RunNews::Refused { run, refusal });
                continue;
            }
            let wish = ServerWish::Start { run: run.clone(), spec: Arc::clone(spec) };
            if let Some(life) = &mut self.life {
                let owner = Some(scheduler.clone());
                let state = RunState { phase: RunPhase::Starting, size, owner, since: now };
                life.runs.insert(run, state);
            }
            self.call(now, wish);
        }
    }

    fn refusal(&self, wanted: &LifeId, size: &RoomSize) -> Option<StartRefusal> {
        let Some(life) = self.life.as_ref().filter(|life| life.view.life == *wanted) else {
            return Some(StartRefusal::Gone);
        };
        if life.view.draining || !life.listed {
            return Some(StartRefusal::Gone);
        }
        (!life.free_capacity().holds(size)).then_some(StartRefusal::Room)
    }

    /// Stops a run; one that is not known here needs no stop.
    pub(super) fn stop(&mut self, now: Instant, run: TaskRun) {
        let Some(state) = self.life.as_mut().and_then(|life| life.runs.get_mut(&run)) else {
            return;
        };
        if matches!(state.phase, RunPhase::Starting | RunPhase::Running { .. }) {
            state.phase = RunPhase::Stopping { retry_at: None };
            self.call(now, ServerWish::Stop { run });
        }
    }

    fn keep(&mut self, scheduler: &SchedulerKey, run: &TaskRun) {
        let state = self.life.as_mut().and_then(|life| life.runs.get_mut(run));
        if let Some(state) = state.filter(|state| state.owner.is_none()) {
            state.owner = Some(scheduler.clone());
        }
    }

    /// Deals with what time alone brings.
    pub fn on_tick(&mut self, now: Instant) -> Vec<RunStep> {
        self.finish(now)
    }

    pub(super) fn finish(&mut self, now: Instant) -> Vec<RunStep> {
        self.expire_lease(now);
        self.stop_ungranted(now);
        self.retry_stops(now);
        self.renew_if_due(now);
        self.report_if_due(now);
        std::mem::take(&mut self.steps)
    }

    /// One report to each scheduler is on its way at a time; what is new
    /// meanwhile goes with the next.
    fn report_if_due(&mut self, now: Instant) {
        if !self.knows_runs(now) {
            return;
        }
        let life = self.life.as_ref().filter(|life| life.listed);
        for (scheduler, session) in &mut self.schedulers {
            let others = life.map(|life| life.other_usage(scheduler)).unwrap_or_default();
            if !session.is_report_due(now, &others) {
                continue;
            }
            let Some(number) = session.session else { continue };
            let listed = |owner| life.map(|life| life.runs_of(owner)).unwrap_or_default();
            let report = AgentReport {
                agent: self.agent.clone(),
                incarnation: self.incarnation,
                session: number,
                server: life.map(|life| life.view.clone()),
                runs: session.must_list_runs.then(|| listed(Some(scheduler))),
                unowned: if session.must_list_runs { listed(None) } else { Vec::new() },
                news: std::mem::take(&mut session.updates),
                others,
            };
            session.on_report_sent(now, others);
            self.steps.push(RunStep::Report(scheduler.clone(), report));
        }
    }

    /// A new agent may say what runs once the backend server listed it, or
    /// once everything that ran before has surely lapsed.
    fn knows_runs(&self, now: Instant) -> bool {
        self.has_lists || now >= self.lapsed_at()
    }

    fn lapsed_at(&self) -> Instant {
        self.started_at + self.limits.lease.mul_f64(1.0 + MAX_CLOCK_DRIFT) * 2
    }

    /// When [`RunTable::on_tick`] is next needed.
    pub fn next_deadline(&self) -> Option<Instant> {
        let required = self.schedulers.values().any(|session| {
            session.session.is_some() && session.needs_report && !session.report_in_flight
        });
        let first = required.then(|| self.lapsed_at());
        let life = self.life.as_ref();
        let granted = life.into_iter().flat_map(|life| {
            let active = life.runs.values().filter(|state| {
                matches!(state.phase, RunPhase::Starting | RunPhase::Running { .. })
            });
            active.filter_map(|state| self.granted_until(state))
        });
        let listed = life.filter(|life| life.listed);
        let reports = self.schedulers.iter().filter_map(|(scheduler, session)| {
            let others = listed.map(|life| life.other_usage(scheduler)).unwrap_or_default();
            session.next_report(&others)
        });
        let life = life.and_then(ServerLife::next_deadline);
        first.into_iter().chain(granted).chain(reports).chain(life).min()
    }

    /// Grows with each start of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Runs that may be at work.
    pub fn runs(&self) -> usize {
        self.life.as_ref().map_or(0, |life| life.runs.len())
    }
}

fn update_line(news: &RunNews) -> EventLine {
    match news {
        RunNews::Ended { number, run, kind } => {
            EventLine::new("run_ended").with("run", run).with("kind", kind).with("number", number)
        }
        RunNews::Refused { run, refusal } => {
            EventLine::new("run_not_started").with("run", run).with("cause", refusal)
        }
    }
}
