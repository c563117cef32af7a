//! Service that starts tasks on an agent's backend servers.
//!
//! It drives [`StartTable`], and answers the entries' start orders, queries,
//! recalls and watches of the agent's view.
//!
//! Invariant: a run that can't be handed to the backend edge ends as never sent.

use std::time::{Duration, Instant};

use decisions::agent::{StartLimits, StartStep, StartTable};
use indexmap::IndexMap;
use kernel::{DutyHandler, KernelError, Registry, Reservation, RingReceiver, RingSender, run_duty};
use model::{
    AgentAnswer, AgentReply, AgentView, AgentWatch, BackendMessage, CallId, EventLine, EventLog,
    Incarnation, LeaseState, RunEnd, ServiceName, StartMessage, StartOrder, WorkerId,
};

use crate::context::ServiceContext;

/// Settings of an agent's start service.
#[derive(Debug, Clone)]
pub struct StartSettings {
    /// Incarnation of the agent at its start; a fence replaces it later.
    pub incarnation: Incarnation,
    /// Initial view of the agent; its variable fields are filled in for each answer.
    pub view: AgentView,
    /// Queue length, retention of ended tasks and lifetime of announcements.
    pub limits: StartLimits,
}

/// An entry's pending request for a view other than `version`.
struct PendingWatch {
    call: CallId,
    version: u64,
    deadline: Instant,
}

struct TaskStarts {
    context: ServiceContext,
    log: EventLog,
    table: StartTable,
    view: AgentView,
    pending_watches: Vec<PendingWatch>,
    pending_replies: IndexMap<CallId, Reservation<AgentReply>>,
    own_ring: RingSender<StartMessage>,
    backends: RingSender<BackendMessage>,
    /// Whether the process is draining.
    draining: bool,
    /// Whether the configuration lists this worker as drained.
    drained_by_config: bool,
}

/// Runs the service until its ring is closed.
///
/// # Errors
/// Fails if a service that it sends to is not registered.
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
        pending_watches: Vec::new(),
        pending_replies: IndexMap::new(),
        own_ring: registry.find(ServiceName::TaskStarts)?,
        backends: registry.find(ServiceName::BackendEdge)?,
        draining: false,
        drained_by_config: false,
        context,
    };
    run_duty(ring, &clock, DutyHandler { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &TaskStarts) -> Option<Instant> {
    let watch_deadline = state.pending_watches.iter().map(|watch| watch.deadline).min();
    [state.table.next_deadline(), watch_deadline].into_iter().flatten().min()
}

fn handle(state: &mut TaskStarts, now: Instant, message: Option<StartMessage>) {
    if let Some(message) = message {
        let steps = state.on_message(now, message);
        state.execute_steps(now, steps);
    }
    let is_due = state.table.next_deadline().is_some_and(|at| at <= now);
    if is_due {
        let steps = state.table.on_tick(now);
        state.execute_steps(now, steps);
    }
    state.answer_pending_watches(now);
    let in_progress = state.table.in_progress();
    state.context.gate.set(in_progress);
    state.context.counters.set_in_progress(in_progress);
}

impl TaskStarts {
    fn on_message(&mut self, now: Instant, message: StartMessage) -> Vec<StartStep> {
        match message {
            StartMessage::Order { call, order, reply } => {
                self.pending_replies.insert(call, reply);
                self.table.on_order(now, call, order)
            }
            StartMessage::Attach { call, query, reply } => {
                self.pending_replies.insert(call, reply);
                self.table.on_query(now, call, &query)
            }
            StartMessage::Recall { call, order, reply } => {
                self.pending_replies.insert(call, reply);
                self.table.on_recall(now, call, &order)
            }
            StartMessage::Watch { call, watch, reply } => {
                self.pending_replies.insert(call, reply);
                self.on_watch(now, call, &watch);
                Vec::new()
            }
            StartMessage::CallDropped { call } => {
                self.pending_replies.swap_remove(&call);
                self.pending_watches.retain(|watch| watch.call != call);
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
                self.drained_by_config = config.text.drained_workers.contains(worker);
                let line = EventLine::new("config_in_force").with("version", config.version);
                self.log.info(line);
                self.table.on_draining(now, self.draining || self.drained_by_config)
            }
            StartMessage::Drain => {
                self.draining = true;
                self.table.on_draining(now, true)
            }
        }
    }

    fn on_lease(&mut self, state: LeaseState) -> Vec<StartStep> {
        match state {
            LeaseState::ValidUntil(until) => {
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
        let deadline = now + Duration::from_millis(watch.wait_ms);
        self.pending_watches.push(PendingWatch { call, version: watch.version, deadline });
    }

    /// Answers the watches whose view has changed or whose deadline has passed.
    fn answer_pending_watches(&mut self, now: Instant) {
        let version = self.table.version();
        let due_watches: Vec<PendingWatch> = self
            .pending_watches
            .extract_if(.., |watch| watch.version != version || watch.deadline <= now)
            .collect();
        for watch in due_watches {
            let mut view = self.view.clone();
            self.table.fill_view(&mut view);
            self.send_reply(AgentReply { call: watch.call, answer: AgentAnswer::View(view) });
        }
    }

    fn execute_steps(&mut self, now: Instant, steps: Vec<StartStep>) {
        for step in steps {
            match step {
                StartStep::Run { address, order } => self.start_run(now, address, *order),
                StartStep::Answer(reply) => self.send_reply(reply),
                StartStep::Stop { key } => self.stop_run(key),
                StartStep::Announce => self.log_slots(),
                StartStep::Count(kind) => self.context.counters.count_message(kind),
            }
        }
    }

    fn send_reply(&mut self, reply: AgentReply) {
        if let Some(reserved) = self.pending_replies.swap_remove(&reply.call) {
            reserved.push(reply);
        }
    }

    fn start_run(&mut self, now: Instant, address: std::net::SocketAddr, order: StartOrder) {
        let line = EventLine::new("start")
            .with("task", &order.key)
            .with("attempt", order.attempt)
            .with("address", address);
        self.log.info(line);
        let key = order.key.clone();
        let remaining = order.remaining();
        let StartOrder { service, payload, .. } = order;
        let sent = self.own_ring.reserve().is_some_and(|done| {
            let task = key.clone();
            let run = BackendMessage::Run { address, service, key: task, remaining, payload, done };
            self.backends.push(run).is_ok()
        });
        if !sent {
            let end = RunEnd::NeverSent { reason: "a message queue of the agent is full".into() };
            let steps = self.table.on_run_ended(now, &key, &address, end);
            self.execute_steps(now, steps);
        }
    }

    fn stop_run(&self, key: model::TaskKey) {
        if self.backends.push(BackendMessage::Stop { key }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::BackendEdge));
        }
    }

    fn log_slots(&self) {
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
