//! Service that manages the task runs on an agent's backend server.
//!
//! Invariant: a heartbeat that reports a draining backend server is
//! acknowledged only after this service has stopped starting runs there.

use std::time::Instant;

use decisions::agent::{RunLimits, RunStep, RunTable};
use kernel::{DutyHandler, KernelError, Registry, Reservation, RingReceiver, RingSender, run_duty};
use model::{
    CallId, DomainId, EventLine, EventLog, Incarnation, NodeId, ScheduleEvent, ScheduleLinkMessage,
    SchedulerKey, ServerFrontMessage, ServerRunsMessage, ServiceName, SessionId,
};

use crate::context::ServiceContext;

/// Settings of the run service.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// Node name of the agent.
    pub agent: NodeId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Failure domain of the agent.
    pub domain: DomainId,
    /// Lease duration, wait times and retry delay.
    pub limits: RunLimits,
}

struct ServerRuns {
    context: ServiceContext,
    log: EventLog,
    table: RunTable,
    own_ring: RingSender<ServerRunsMessage>,
    front: RingSender<ServerFrontMessage>,
    link: RingSender<ScheduleLinkMessage>,
}

/// Runs the service until its ring is closed.
///
/// # Errors
/// Fails if a service that it sends to is not registered.
pub fn run(
    ring: &RingReceiver<ServerRunsMessage>,
    registry: &Registry<ServiceName>,
    context: ServiceContext,
    settings: RunSettings,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let RunSettings { agent, incarnation, domain, limits } = settings;
    let state = ServerRuns {
        log: context.event_log(registry)?,
        table: RunTable::new(clock.now(), agent, incarnation, limits).in_domain(domain),
        own_ring: registry.find(ServiceName::ServerRuns)?,
        front: registry.find(ServiceName::ServerFront)?,
        link: registry.find(ServiceName::ScheduleLink)?,
        context,
    };
    run_duty(ring, &clock, DutyHandler { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &ServerRuns) -> Option<Instant> {
    state.table.next_deadline()
}

fn handle(state: &mut ServerRuns, now: Instant, message: Option<ServerRunsMessage>) {
    match message {
        Some(message) => state.on_message(now, message),
        None => {
            let steps = state.table.on_tick(now);
            state.execute_steps(steps);
        }
    }
    state.context.counters.set_in_progress(state.table.runs());
}

impl ServerRuns {
    fn on_message(&mut self, now: Instant, message: ServerRunsMessage) {
        let steps = match message {
            ServerRunsMessage::Heartbeat { call, heartbeat, reply } => {
                let steps = self.table.on_heartbeat(now, &heartbeat);
                acknowledge(call, reply);
                steps
            }
            ServerRunsMessage::Leave { call, instance, reply } => {
                let steps = self.table.on_leave(now, &instance);
                acknowledge(call, reply);
                steps
            }
            ServerRunsMessage::Answer { call, clock, generation, answer } => {
                let steps = self.table.on_generation(now, &call, clock, generation);
                self.execute_steps(steps);
                self.table.on_answer(now, &call, clock, answer)
            }
            ServerRunsMessage::Schedule { scheduler, session, event } => {
                self.on_schedule_event(now, scheduler, session, event)
            }
        };
        self.execute_steps(steps);
    }

    fn on_schedule_event(
        &mut self,
        now: Instant,
        scheduler: SchedulerKey,
        session: SessionId,
        event: ScheduleEvent,
    ) -> Vec<RunStep> {
        match event {
            ScheduleEvent::Opened => self.table.on_opened(now, scheduler, session),
            ScheduleEvent::Closed => self.table.on_closed(now, &scheduler, session),
            ScheduleEvent::Orders { sent_at, acked_reports, orders } => {
                let steps = self.table.on_reports_acked(now, &scheduler, session, acked_reports);
                self.execute_steps(steps);
                self.table.on_orders(now, &scheduler, session, sent_at, *orders)
            }
        }
    }

    fn execute_steps(&mut self, steps: Vec<RunStep>) {
        for step in steps {
            match step {
                RunStep::Call(call) => self.send_call(call),
                RunStep::Report(scheduler, report) => {
                    let report = Box::new(report);
                    self.send(ScheduleLinkMessage::Report { scheduler, report });
                }
                RunStep::SetActive(scheduler, is_active) => {
                    self.send(ScheduleLinkMessage::SetActive { scheduler, is_active });
                }
                RunStep::Connect(entries) => self.send(ScheduleLinkMessage::Entries { entries }),
                RunStep::Log(line) => self.log.info(line),
            }
        }
    }

    /// Sends a call to the backend server. If a ring is full or closed, the call ends
    /// as one without an answer: that outcome allows for the call having been executed
    /// or not, so it is always safe. Without an end, no renewal would follow this one.
    fn send_call(&mut self, call: model::ServerCall) {
        let Some(done) = self.own_ring.reserve() else {
            self.log_full_ring(ServiceName::ServerRuns);
            let answer = model::ServerAnswer::NoAnswer;
            let steps = self.table.on_answer(self.context.clock.now(), &call, None, answer);
            return self.execute_steps(steps);
        };
        let message = ServerFrontMessage::Call { call: Box::new(call), done };
        if let Err(error) = self.front.push(message) {
            let (kernel::PushError::Full { message } | kernel::PushError::Closed { message }) =
                error;
            self.log_full_ring(ServiceName::ServerFront);
            if let ServerFrontMessage::Call { call, done } = message {
                let answer = model::ServerAnswer::NoAnswer;
                let (clock, generation) = (None, None);
                done.push(ServerRunsMessage::Answer { call, clock, generation, answer });
            }
        }
    }

    fn send(&self, message: ScheduleLinkMessage) {
        if self.link.push(message).is_err() {
            self.log_full_ring(ServiceName::ScheduleLink);
        }
    }

    fn log_full_ring(&self, ring: ServiceName) {
        self.log.warn(EventLine::new("ring_full").with("ring", ring));
    }
}

fn acknowledge(call: CallId, reply: Reservation<ServerFrontMessage>) {
    reply.push(ServerFrontMessage::Acknowledge { call });
}
