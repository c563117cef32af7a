//! The duty that decides which tasks start at an agent.

use std::time::{Duration, Instant};

use decisions::agent::{StartLimits, StartStep, StartTable};
use indexmap::IndexMap;
use kernel::{DutyState, KernelError, Registry, Reservation, RingReceiver, RingSender, serve};
use model::{
    AgentAnswer, AgentReply, AgentView, AgentWatch, BackendMessage, CallId, EventLine, EventLog,
    Incarnation, LeaseState, RunEnd, ServiceName, StartMessage, StartOrder, WorkerId,
};

use crate::context::ServiceContext;

/// What an agent's start service is given besides the context.
#[derive(Debug, Clone)]
pub struct StartSettings {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The parts of its view that do not change.
    pub view: AgentView,
    /// Limits.
    pub limits: StartLimits,
}

struct OpenWatch {
    call: CallId,
    version: u64,
    answer_at: Instant,
}

struct TaskStarts {
    context: ServiceContext,
    log: EventLog,
    table: StartTable,
    view: AgentView,
    watches: Vec<OpenWatch>,
    replies: IndexMap<CallId, Reservation<AgentReply>>,
    own: RingSender<StartMessage>,
    backends: RingSender<BackendMessage>,
    draining: bool,
    drained_by_text: bool,
}

/// Runs the duty until its ring is closed.
///
/// # Errors
/// When a service that it needs is not registered.
pub fn run(
    ring: &RingReceiver<StartMessage>,
    registry: &Registry<ServiceName>,
    context: ServiceContext,
    settings: StartSettings,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let state = TaskStarts {
        log: context.event_log(registry)?,
        table: StartTable::new(settings.incarnation, settings.limits),
        view: settings.view,
        watches: Vec::new(),
        replies: IndexMap::new(),
        own: registry.find(ServiceName::TaskStarts)?,
        backends: registry.find(ServiceName::BackendEdge)?,
        draining: false,
        drained_by_text: false,
        context,
    };
    serve(ring, &clock, DutyState { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &TaskStarts) -> Option<Instant> {
    let watch = state.watches.iter().map(|open| open.answer_at).min();
    [state.table.next_deadline(), watch].into_iter().flatten().min()
}

fn handle(state: &mut TaskStarts, now: Instant, message: Option<StartMessage>) {
    if let Some(message) = message {
        let steps = state.on_message(now, message);
        state.carry_out(now, steps);
    }
    let due = state.table.next_deadline().is_some_and(|at| at <= now);
    if due {
        let steps = state.table.on_tick(now);
        state.carry_out(now, steps);
    }
    state.answer_watches(now);
    let in_progress = state.table.in_progress();
    state.context.gate.set(in_progress);
    state.context.counters.set_in_progress(in_progress);
}

impl TaskStarts {
    fn on_message(&mut self, now: Instant, message: StartMessage) -> Vec<StartStep> {
        match message {
            StartMessage::Order { call, order, reply } => {
                self.replies.insert(call, reply);
                self.table.on_order(now, call, order)
            }
            StartMessage::Attach { call, question, reply } => {
                self.replies.insert(call, reply);
                self.table.on_attach(now, call, &question)
            }
            StartMessage::Recall { call, order, reply } => {
                self.replies.insert(call, reply);
                self.table.on_recall(now, call, &order)
            }
            StartMessage::Watch { call, watch, reply } => {
                self.replies.insert(call, reply);
                self.on_watch(now, call, &watch);
                Vec::new()
            }
            StartMessage::CallDropped { call } => {
                self.replies.swap_remove(&call);
                self.watches.retain(|open| open.call != call);
                self.table.on_call_dropped(call);
                Vec::new()
            }
            StartMessage::Announced { announcement } => self.table.on_announced(now, &announcement),
            StartMessage::Leaving { address } => {
                self.log.info(EventLine::new("backend_leaving").with("address", address));
                self.table.on_leaving(now, &address)
            }
            StartMessage::RunEnded { key, address, end } => {
                self.table.on_run_ended(now, &key, &address, end)
            }
            StartMessage::Lease { state } => self.on_lease(state),
            StartMessage::Fences { fences } => self.table.on_fences(now, &fences),
            StartMessage::Config { config } => {
                let worker: &WorkerId = &self.view.worker;
                self.drained_by_text = config.text.drained_workers.contains(worker);
                let line = EventLine::new("config_in_force").with("version", config.version);
                self.log.info(line);
                self.table.on_draining(now, self.draining || self.drained_by_text)
            }
            StartMessage::Drain => {
                self.draining = true;
                self.table.on_draining(now, true)
            }
        }
    }

    fn on_lease(&mut self, state: LeaseState) -> Vec<StartStep> {
        match state {
            LeaseState::HeldUntil(until) => {
                self.table.on_lease(Some(until));
                Vec::new()
            }
            LeaseState::Fenced { incarnation } => {
                self.log.warn(EventLine::new("fenced").with("new_incarnation", incarnation));
                self.table.on_new_incarnation(incarnation)
            }
        }
    }

    fn on_watch(&mut self, now: Instant, call: CallId, watch: &AgentWatch) {
        let answer_at = now + Duration::from_millis(watch.wait_ms);
        self.watches.push(OpenWatch { call, version: watch.version, answer_at });
    }

    /// Answers watches for which there is news or that waited long enough.
    fn answer_watches(&mut self, now: Instant) {
        let version = self.table.version();
        let due: Vec<OpenWatch> = self
            .watches
            .extract_if(.., |open| open.version != version || open.answer_at <= now)
            .collect();
        for open in due {
            let mut view = self.view.clone();
            self.table.fill_view(&mut view);
            self.answer(AgentReply { call: open.call, answer: AgentAnswer::View(view) });
        }
    }

    fn carry_out(&mut self, now: Instant, steps: Vec<StartStep>) {
        for step in steps {
            match step {
                StartStep::Run { address, order } => self.run_order(now, address, *order),
                StartStep::Answer(reply) => self.answer(reply),
                StartStep::Stop { key } => self.stop(key),
                StartStep::Announce => self.log_view(),
                StartStep::Count(kind) => self.context.counters.count(kind),
            }
        }
    }

    fn answer(&mut self, reply: AgentReply) {
        if let Some(room) = self.replies.swap_remove(&reply.call) {
            room.push(reply);
        }
    }

    fn run_order(&mut self, now: Instant, address: std::net::SocketAddr, order: StartOrder) {
        let line = EventLine::new("start")
            .with("task", &order.key)
            .with("attempt", order.attempt)
            .with("address", address);
        self.log.info(line);
        let key = order.key.clone();
        let left = order.left();
        let StartOrder { service, payload, .. } = order;
        let sent = self.own.reserve().is_some_and(|done| {
            let task = key.clone();
            let run = BackendMessage::Run { address, service, key: task, left, payload, done };
            self.backends.push(run).is_ok()
        });
        if !sent {
            let end = RunEnd::NeverSent { reason: "the agent is overloaded".into() };
            let steps = self.table.on_run_ended(now, &key, &address, end);
            self.carry_out(now, steps);
        }
    }

    fn stop(&self, key: model::TaskKey) {
        if self.backends.push(BackendMessage::Stop { key }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::BackendEdge));
        }
    }

    fn log_view(&self) {
        let mut view = self.view.clone();
        self.table.fill_view(&mut view);
        for row in &view.services {
            let line = EventLine::new("slots_changed")
                .with("service", &row.service)
                .with("slots", row.slots)
                .with("draining", view.draining);
            self.log.info(line);
        }
    }
}
