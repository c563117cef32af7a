//! The duty that schedules queued jobs while this host leads.
//!
//! Invariants:
//! - a job is accepted only by a committed record;
//! - calls that wait are answered when this host ceases to lead.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use decisions::schedule::{JobDecision, ScheduleLimits, ScheduleStep, Scheduler};
use indexmap::IndexMap;
use kernel::{DutyState, KernelError, Registry, Reservation, RingReceiver, RingSender, serve};
use model::{
    CallId, ConfigVersion, ControlReply, ControlReplyBody, EventLine, EventLog, JobCall,
    LogMessage, SchedulingMessage, ServiceName,
};

use crate::context::ServiceContext;

/// How long an entry's question for a newer catalog waits.
const CATALOG_WAIT: Duration = Duration::from_millis(700);

struct CatalogWatcher {
    call: CallId,
    version: ConfigVersion,
    answer_at: Instant,
    reply: Reservation<ControlReply>,
}

struct JobScheduling {
    log: EventLog,
    scheduler: Scheduler,
    leader: Option<SocketAddr>,
    /// Polls and callers of best-effort jobs that wait.
    waiting: IndexMap<CallId, Reservation<ControlReply>>,
    watchers: Vec<CatalogWatcher>,
    replicated: RingSender<LogMessage>,
}

/// Runs the duty until its ring is closed.
///
/// # Errors
/// When a service that it needs is not registered.
pub fn run(
    ring: &RingReceiver<SchedulingMessage>,
    registry: &Registry<ServiceName>,
    context: &ServiceContext,
    limits: ScheduleLimits,
) -> Result<(), KernelError> {
    let clock = context.clock.clone();
    let state = JobScheduling {
        log: context.event_log(registry)?,
        scheduler: Scheduler::new(clock.now(), limits),
        leader: None,
        waiting: IndexMap::new(),
        watchers: Vec::new(),
        replicated: registry.find(ServiceName::ReplicatedLog)?,
    };
    serve(ring, &clock, DutyState { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &JobScheduling) -> Option<Instant> {
    let watch = state.watchers.iter().map(|watcher| watcher.answer_at).min();
    [state.scheduler.next_deadline(), watch].into_iter().flatten().min()
}

fn handle(state: &mut JobScheduling, now: Instant, message: Option<SchedulingMessage>) {
    match message {
        Some(message) => state.on_message(now, message),
        None => {
            let steps = state.scheduler.on_tick(now);
            state.carry_out(steps);
        }
    }
    state.answer_watchers(now);
}

impl JobScheduling {
    fn on_message(&mut self, now: Instant, message: SchedulingMessage) {
        match message {
            SchedulingMessage::Job { call, job, reply } => self.on_job(now, call, &job, reply),
            SchedulingMessage::Report { call, report, reply } => {
                let (taken, steps) = self.scheduler.on_report(now, &report);
                let body = if taken { ControlReplyBody::ReportTaken } else { self.not_leader() };
                answer(reply, call, body);
                self.carry_out(steps);
            }
            SchedulingMessage::Poll { call, poll, reply } => {
                self.waiting.insert(call, reply);
                let steps = self.scheduler.on_poll(now, call, &poll);
                self.carry_out(steps);
            }
            SchedulingMessage::CatalogWatch { call, version, reply } => {
                let answer_at = now + CATALOG_WAIT;
                self.watchers.push(CatalogWatcher { call, version, answer_at, reply });
            }
            SchedulingMessage::Applied { records } => {
                let steps = self.scheduler.on_applied(now, &records);
                self.carry_out(steps);
            }
            SchedulingMessage::Restored { state } => self.scheduler.on_restored(*state),
            SchedulingMessage::Leading { term, leader } => {
                self.leader = leader;
                let steps = self.scheduler.on_leading(now, term);
                self.carry_out(steps);
            }
        }
    }

    fn on_job(
        &mut self,
        now: Instant,
        call: CallId,
        job: &JobCall,
        reply: Reservation<ControlReply>,
    ) {
        let decision = self.scheduler.on_job_call(now, call, job);
        match decision {
            JobDecision::Wait => {
                self.waiting.insert(call, reply);
            }
            JobDecision::Reply(body) => answer(reply, call, ControlReplyBody::Job(body)),
            JobDecision::NotLeader => answer(reply, call, self.not_leader()),
            JobDecision::Commit(command) => {
                let message = LogMessage::Propose { call, commands: vec![command], reply };
                if let Err(error) = self.replicated.push(message) {
                    self.refuse(error);
                }
            }
        }
        let steps = self.scheduler.after_job_call(now);
        self.carry_out(steps);
    }

    /// The log has no room: nothing was proposed.
    fn refuse(&self, error: kernel::PushError<LogMessage>) {
        let (kernel::PushError::Full { message } | kernel::PushError::Closed { message }) = error;
        if let LogMessage::Propose { call, reply, .. } = message {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog));
            answer(reply, call, self.not_leader());
        }
    }

    fn not_leader(&self) -> ControlReplyBody {
        ControlReplyBody::NotLeader { leader: self.leader }
    }

    fn carry_out(&mut self, steps: Vec<ScheduleStep>) {
        for step in steps {
            match step {
                ScheduleStep::Propose(commands) => {
                    if self.replicated.push(LogMessage::ProposeQuietly { commands }).is_err() {
                        let line =
                            EventLine::new("ring_full").with("ring", ServiceName::ReplicatedLog);
                        self.log.warn(line);
                    }
                }
                ScheduleStep::Orders { call, orders } => {
                    if let Some(reply) = self.waiting.swap_remove(&call) {
                        answer(reply, call, ControlReplyBody::Orders(Box::new(orders)));
                    }
                }
                ScheduleStep::JobEnd { call, reply: body } => {
                    if let Some(reply) = self.waiting.swap_remove(&call) {
                        answer(reply, call, ControlReplyBody::Job(body));
                    }
                }
                ScheduleStep::DropPoll { call } => {
                    if let Some(reply) = self.waiting.swap_remove(&call) {
                        answer(reply, call, self.not_leader());
                    }
                }
                ScheduleStep::Note(line) => self.log.info(line),
            }
        }
    }

    /// Entries learn of a newer catalog at once; only a leader's word counts.
    fn answer_watchers(&mut self, now: Instant) {
        if self.watchers.is_empty() {
            return;
        }
        let leads = self.scheduler.term().is_some();
        let catalog = self.scheduler.catalog();
        let newest = catalog.as_ref().map_or(0, |catalog| catalog.version);
        for watcher in std::mem::take(&mut self.watchers) {
            let CatalogWatcher { call, version, answer_at, reply } = watcher;
            if !leads {
                answer(reply, call, self.not_leader());
            } else if newest > version {
                answer(reply, call, ControlReplyBody::Catalog(catalog.clone()));
            } else if answer_at <= now {
                answer(reply, call, ControlReplyBody::Catalog(None));
            } else {
                self.watchers.push(CatalogWatcher { call, version, answer_at, reply });
            }
        }
    }
}

fn answer(reply: Reservation<ControlReply>, call: CallId, body: ControlReplyBody) {
    reply.push(ControlReply { call, body });
}
