//! The duty that admits, queues and places tasks at an entry.

use std::time::{Duration, Instant};

use decisions::entry::{DispatchLimits, DispatchStep, Dispatcher, HealthChange};
use kernel::{DutyState, KernelError, Registry, RingReceiver, RingSender, serve};
use model::{
    DispatchMessage, EventLine, EventLog, JobMessage, LinkEvent, LinkMessage, MemberRecord,
    RecallOrder, ServiceName, StartOrder, TaskEnd, TaskKey, TaskNote, TaskQuestion, WorkerId,
};

use crate::context::ServiceContext;

/// How long a link may be quiet when wasted messages do not matter.
const SHORTEST_QUIET: Duration = Duration::from_millis(1_000);
/// Added to that when only wasted messages matter.
const QUIET_SPREAD: Duration = Duration::from_millis(3_000);

struct TaskDispatch {
    context: ServiceContext,
    log: EventLog,
    dispatcher: Dispatcher,
    agents: Vec<MemberRecord>,
    quiet_interval: Duration,
    own: RingSender<DispatchMessage>,
    jobs: RingSender<JobMessage>,
    links: RingSender<LinkMessage>,
    /// Steps for job tracking that found its ring full.
    overdue: std::collections::VecDeque<JobMessage>,
}

/// Runs the duty until its ring is closed.
///
/// # Errors
/// When a service that it needs is not registered.
pub fn run(
    ring: &RingReceiver<DispatchMessage>,
    registry: &Registry<ServiceName>,
    context: ServiceContext,
    limits: DispatchLimits,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let state = TaskDispatch {
        log: context.event_log(registry)?,
        dispatcher: Dispatcher::new(limits),
        agents: Vec::new(),
        quiet_interval: SHORTEST_QUIET + QUIET_SPREAD / 2,
        own: registry.find(ServiceName::TaskDispatch)?,
        jobs: registry.find(ServiceName::JobTracking)?,
        links: registry.find(ServiceName::AgentLinks)?,
        overdue: std::collections::VecDeque::new(),
        context,
    };
    serve(ring, &clock, DutyState { state, handle, next_deadline });
    Ok(())
}

/// Delay before messages to a full ring are tried again.
const OVERDUE_DELAY: Duration = Duration::from_millis(5);

fn next_deadline(state: &TaskDispatch) -> Option<Instant> {
    let overdue = (!state.overdue.is_empty()).then(|| state.context.clock.now() + OVERDUE_DELAY);
    [state.dispatcher.next_deadline(), overdue].into_iter().flatten().min()
}

fn handle(state: &mut TaskDispatch, now: Instant, message: Option<DispatchMessage>) {
    state.send_overdue();
    if let Some(message) = message {
        let steps = state.on_message(now, message);
        state.carry_out(now, steps);
    }
    let due = state.dispatcher.next_deadline().is_some_and(|at| at <= now);
    if due {
        let steps = state.dispatcher.on_tick(now);
        state.carry_out(now, steps);
    }
    state.dispatcher.plan_upkeep(now);
    state.context.counters.set_slots(state.dispatcher.known_slots());
    state.context.counters.set_waiting(state.dispatcher.waiting());
}

impl TaskDispatch {
    fn on_message(&mut self, now: Instant, message: DispatchMessage) -> Vec<DispatchStep> {
        match message {
            DispatchMessage::Admit { request, release } => {
                self.dispatcher.on_admit(now, request, release)
            }
            DispatchMessage::Release { key, order } => self.dispatcher.on_release(now, &key, order),
            DispatchMessage::Withdraw { key } => self.dispatcher.on_withdraw(&key),
            DispatchMessage::Link { worker, event } => self.dispatcher.on_link(now, &worker, event),
            DispatchMessage::Config { config } => {
                let share = config.text.balance.waste_share();
                self.quiet_interval = SHORTEST_QUIET + QUIET_SPREAD.mul_f64(share);
                let line = EventLine::new("config_in_force")
                    .with("version", config.version)
                    .with("policy", config.text.policy);
                self.log.info(line);
                self.dispatcher.on_config(config);
                self.tell_links();
                Vec::new()
            }
            DispatchMessage::Members { agents, entries } => {
                self.agents = agents;
                self.tell_links();
                self.dispatcher.on_members(now, &self.agents, entries)
            }
            DispatchMessage::Lease { state } => self.dispatcher.on_lease(now, state),
        }
    }

    fn tell_links(&self) {
        let message =
            LinkMessage::Agents { agents: self.agents.clone(), interval: self.quiet_interval };
        if self.links.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::AgentLinks));
        }
    }

    fn carry_out(&mut self, now: Instant, steps: Vec<DispatchStep>) {
        for step in steps {
            self.carry_out_one(now, step);
        }
    }

    fn carry_out_one(&mut self, now: Instant, step: DispatchStep) {
        match step {
            DispatchStep::Admitted { key } => self.tell_jobs(JobMessage::Admitted { key }),
            DispatchStep::Refused { key, failure } => {
                self.tell_jobs(JobMessage::Refused { key, failure });
            }
            DispatchStep::Start { worker, order } => self.start(now, worker, order),
            DispatchStep::Attach { worker, question } => self.attach(now, worker, question),
            DispatchStep::Recall { worker, order } => self.recall(worker, order),
            DispatchStep::End { key, end } => {
                self.log_end(&key, &end);
                self.tell_jobs(JobMessage::TaskEnded { key, end });
            }
            DispatchStep::Note { key, note } => {
                self.log_note(&key, &note);
                self.tell_jobs(JobMessage::Noted { key, note });
            }
            DispatchStep::Health { worker, change } => self.log_health(&worker, change),
            DispatchStep::Count(kind) => self.context.counters.count(kind),
        }
    }

    /// Messages to job tracking are never lost: those that find no room wait
    /// here. Their number is bounded by what was admitted.
    fn tell_jobs(&mut self, message: JobMessage) {
        self.overdue.push_back(message);
        self.send_overdue();
    }

    fn send_overdue(&mut self) {
        while let Some(message) = self.overdue.pop_front() {
            match self.jobs.push(message) {
                Ok(()) => {}
                Err(kernel::PushError::Full { message }) => {
                    self.overdue.push_front(message);
                    return;
                }
                Err(kernel::PushError::Closed { .. }) => return,
            }
        }
    }

    fn start(&mut self, now: Instant, worker: WorkerId, order: Box<StartOrder>) {
        let key = order.key.clone();
        let attempt = order.attempt;
        let sent = self.own.reserve().is_some_and(|reply| {
            self.links.push(LinkMessage::Start { worker: worker.clone(), order, reply }).is_ok()
        });
        if !sent {
            let event = LinkEvent::CallLost { key, attempt, sent: false };
            let steps = self.dispatcher.on_link(now, &worker, event);
            self.carry_out(now, steps);
        }
    }

    /// A question that finds no room is asked again with the worker's next
    /// view.
    fn attach(&mut self, now: Instant, worker: WorkerId, question: TaskQuestion) {
        let TaskQuestion { key, attempt } = question.clone();
        let sent = self.own.reserve().is_some_and(|reply| {
            self.links.push(LinkMessage::Attach { worker: worker.clone(), question, reply }).is_ok()
        });
        if !sent {
            let event = LinkEvent::Silent;
            let mut steps = self.dispatcher.on_link(now, &worker, event);
            let event = LinkEvent::CallLost { key, attempt, sent: true };
            steps.extend(self.dispatcher.on_link(now, &worker, event));
            self.carry_out(now, steps);
        }
    }

    fn recall(&mut self, worker: WorkerId, order: RecallOrder) {
        let Some(reply) = self.own.reserve() else { return };
        if self.links.push(LinkMessage::Recall { worker, order, reply }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::AgentLinks));
        }
    }

    /// Ends without an outcome; the others are in the answers.
    fn log_end(&self, key: &TaskKey, end: &TaskEnd) {
        let line = match end {
            TaskEnd::Ran { .. } => return,
            TaskEnd::NotStarted { failure } => {
                EventLine::new("task_not_started").with("task", key).with("kind", failure.kind)
            }
            TaskEnd::Unknown { reason } => {
                EventLine::new("task_unknown").with("task", key).with("reason", reason)
            }
        };
        self.log.info(line);
    }

    fn log_note(&self, key: &TaskKey, note: &TaskNote) {
        let line = match note {
            TaskNote::Placed { worker, attempt } => EventLine::new("placement")
                .with("task", key)
                .with("worker", worker)
                .with("attempt", attempt)
                .with("policy", self.dispatcher.policy()),
            TaskNote::Refused { worker, reason } => EventLine::new("not_started")
                .with("task", key)
                .with("worker", worker)
                .with("reason", reason),
            TaskNote::InDoubt { worker } => {
                EventLine::new("in_doubt").with("task", key).with("worker", worker)
            }
            TaskNote::Retried { reason } => {
                EventLine::new("retry").with("task", key).with("reason", reason)
            }
        };
        self.log.info(line);
    }

    fn log_health(&self, worker: &WorkerId, change: HealthChange) {
        let event = match change {
            HealthChange::Same => return,
            HealthChange::Ejected => "worker_ejected",
            HealthChange::Reinstated => "worker_reinstated",
        };
        self.log.warn(EventLine::new(event).with("worker", worker));
    }
}
