//! Service that admits, queues and places tasks at an entry.
//!
//! It drives [`Dispatcher`]: start orders, queries and recalls go to the agent
//! links, and the outcome of admissions and tasks to job tracking.
//!
//! Invariant: while the ring of job tracking is open, no message to it is lost
//! and their order is kept.

use std::time::{Duration, Instant};

use decisions::entry::{DispatchLimits, DispatchStep, Dispatcher, HealthChange};
use kernel::{DutyHandler, KernelError, Registry, RingReceiver, RingSender, run_duty};
use model::{
    DispatchMessage, EventLine, EventLog, JobMessage, LinkEvent, LinkMessage, MemberRecord,
    RecallOrder, ServiceName, StartOrder, TaskEnd, TaskEvent, TaskKey, TaskQuery, WorkerId,
};

use crate::context::ServiceContext;

/// Time without traffic after which an agent link is probed, if wasted messages
/// have no weight.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Added to the minimum in proportion to the weight of wasted messages, in full
/// if only they have weight.
const PROBE_INTERVAL_RANGE: Duration = Duration::from_millis(3_000);

struct TaskDispatch {
    context: ServiceContext,
    log: EventLog,
    dispatcher: Dispatcher,
    agents: Vec<MemberRecord>,
    probe_interval: Duration,
    own_ring: RingSender<DispatchMessage>,
    jobs: RingSender<JobMessage>,
    links: RingSender<LinkMessage>,
    /// Messages for job tracking, in order; more than one only while its ring is
    /// full.
    outbox: std::collections::VecDeque<JobMessage>,
}

/// Runs the service until its ring is closed.
///
/// # Errors
/// Fails if a service that it sends to is not registered.
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
        probe_interval: MIN_PROBE_INTERVAL + PROBE_INTERVAL_RANGE / 2,
        own_ring: registry.find(ServiceName::TaskDispatch)?,
        jobs: registry.find(ServiceName::JobTracking)?,
        links: registry.find(ServiceName::AgentLinks)?,
        outbox: std::collections::VecDeque::new(),
        context,
    };
    run_duty(ring, &clock, DutyHandler { state, handle, next_deadline });
    Ok(())
}

/// Delay before messages to a full ring are retried.
const OUTBOX_RETRY_DELAY: Duration = Duration::from_millis(5);

fn next_deadline(state: &TaskDispatch) -> Option<Instant> {
    let retry_at =
        (!state.outbox.is_empty()).then(|| state.context.clock.now() + OUTBOX_RETRY_DELAY);
    [state.dispatcher.next_deadline(), retry_at].into_iter().flatten().min()
}

fn handle(state: &mut TaskDispatch, now: Instant, message: Option<DispatchMessage>) {
    state.flush_outbox();
    if let Some(message) = message {
        let steps = state.on_message(now, message);
        state.execute_steps(now, steps);
    }
    let is_due = state.dispatcher.next_deadline().is_some_and(|at| at <= now);
    if is_due {
        let steps = state.dispatcher.on_tick(now);
        state.execute_steps(now, steps);
    }
    state.dispatcher.plan_tick(now);
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
                let waste_fraction = config.text.balance.waste_share();
                self.probe_interval =
                    MIN_PROBE_INTERVAL + PROBE_INTERVAL_RANGE.mul_f64(waste_fraction);
                let line = EventLine::new("config_in_force")
                    .with("version", config.version)
                    .with("policy", config.text.policy);
                self.log.info(line);
                self.dispatcher.on_config(config);
                self.notify_links();
                Vec::new()
            }
            DispatchMessage::Members { agents, entries } => {
                self.agents = agents;
                self.notify_links();
                self.dispatcher.on_members(now, &self.agents, entries)
            }
            DispatchMessage::Lease { state } => self.dispatcher.on_lease(now, state),
        }
    }

    fn notify_links(&self) {
        let message =
            LinkMessage::Agents { agents: self.agents.clone(), interval: self.probe_interval };
        if self.links.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::AgentLinks));
        }
    }

    fn execute_steps(&mut self, now: Instant, steps: Vec<DispatchStep>) {
        for step in steps {
            self.execute_step(now, step);
        }
    }

    fn execute_step(&mut self, now: Instant, step: DispatchStep) {
        match step {
            DispatchStep::Admitted { key } => self.notify_jobs(JobMessage::Admitted { key }),
            DispatchStep::Refused { key, failure } => {
                self.notify_jobs(JobMessage::Refused { key, failure });
            }
            DispatchStep::Start { worker, order } => self.start(now, worker, order),
            DispatchStep::Attach { worker, query } => self.attach(now, worker, query),
            DispatchStep::Recall { worker, order } => self.recall(worker, order),
            DispatchStep::End { key, end } => {
                self.log_task_end(&key, &end);
                self.notify_jobs(JobMessage::TaskEnded { key, end });
            }
            DispatchStep::TaskEvent { key, event } => {
                self.log_task_event(&key, &event);
                self.notify_jobs(JobMessage::TaskEvent { key, event });
            }
            DispatchStep::Health { worker, change } => self.log_health(&worker, change),
            DispatchStep::Count(kind) => self.context.counters.count_message(kind),
        }
    }

    /// Sends a message to job tracking without loss: while the ring is full,
    /// messages are kept in the outbox, whose size is bounded by the number of
    /// admitted tasks.
    fn notify_jobs(&mut self, message: JobMessage) {
        self.outbox.push_back(message);
        self.flush_outbox();
    }

    fn flush_outbox(&mut self) {
        while let Some(message) = self.outbox.pop_front() {
            match self.jobs.push(message) {
                Ok(()) => {}
                Err(kernel::PushError::Full { message }) => {
                    self.outbox.push_front(message);
                    return;
                }
                Err(kernel::PushError::Closed { .. }) => return,
            }
        }
    }

    fn start(&mut self, now: Instant, worker: WorkerId, order: Box<StartOrder>) {
        let key = order.key.clone();
        let attempt = order.attempt;
        let sent = self.own_ring.reserve().is_some_and(|reply| {
            self.links.push(LinkMessage::Start { worker: worker.clone(), order, reply }).is_ok()
        });
        if !sent {
            let event = LinkEvent::CallLost { key, attempt, sent: false };
            let steps = self.dispatcher.on_link(now, &worker, event);
            self.execute_steps(now, steps);
        }
    }

    /// Sends an attach query to a worker. If a ring is full or closed, the query
    /// is reported as a lost contact and repeated after the worker's next view.
    fn attach(&mut self, now: Instant, worker: WorkerId, query: TaskQuery) {
        let TaskQuery { key, attempt } = query.clone();
        let sent = self.own_ring.reserve().is_some_and(|reply| {
            self.links.push(LinkMessage::Attach { worker: worker.clone(), query, reply }).is_ok()
        });
        if !sent {
            let event = LinkEvent::ContactLost;
            let mut steps = self.dispatcher.on_link(now, &worker, event);
            let event = LinkEvent::CallLost { key, attempt, sent: true };
            steps.extend(self.dispatcher.on_link(now, &worker, event));
            self.execute_steps(now, steps);
        }
    }

    fn recall(&mut self, worker: WorkerId, order: RecallOrder) {
        let Some(reply) = self.own_ring.reserve() else { return };
        if self.links.push(LinkMessage::Recall { worker, order, reply }).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::AgentLinks));
        }
    }

    /// Logs the end of a task without an outcome; outcomes are part of the
    /// answers.
    fn log_task_end(&self, key: &TaskKey, end: &TaskEnd) {
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

    fn log_task_event(&self, key: &TaskKey, task_event: &TaskEvent) {
        let line = match task_event {
            TaskEvent::Placed { worker, attempt } => EventLine::new("placement")
                .with("task", key)
                .with("worker", worker)
                .with("attempt", attempt)
                .with("policy", self.dispatcher.policy()),
            TaskEvent::Refused { worker, reason } => EventLine::new("not_started")
                .with("task", key)
                .with("worker", worker)
                .with("reason", reason),
            TaskEvent::Unacknowledged { worker } => {
                EventLine::new("in_doubt").with("task", key).with("worker", worker)
            }
            TaskEvent::Retried { reason } => {
                EventLine::new("retry").with("task", key).with("reason", reason)
            }
        };
        self.log.info(line);
    }

    fn log_health(&self, worker: &WorkerId, change: HealthChange) {
        let event = match change {
            HealthChange::Unchanged => return,
            HealthChange::Ejected => "worker_ejected",
            HealthChange::Reinstated => "worker_reinstated",
        };
        self.log.warn(EventLine::new(event).with("worker", worker));
    }
}
