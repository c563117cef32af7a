//! Service that tracks submissions at an entry from admission to the answer.
//!
//! It drives [`JobTracker`]: tasks go to dispatch, claims and final answers to
//! the ledger on the control hosts, and figures to control at an interval.
//!
//! Invariant: a call is answered at most once.

use std::time::{Duration, Instant};

use decisions::entry::{JobTracker, TrackerLimits, TrackerStep};
use indexmap::IndexMap;
use kernel::{DutyHandler, KernelError, Registry, Reservation, RingReceiver, RingSender, run_duty};
use model::{
    CallId, CallerAnswer, CallerReply, Command, ControlLinkMessage, DispatchMessage, ErrorKind,
    EventLine, EventLog, Failure, Incarnation, JobKey, JobMessage, LeaseState, LedgerReply,
    MessageKind, NodeId, OwnerRef, Ran, ServiceName,
};

use crate::context::ServiceContext;
use crate::figure_meter::FigureMeter;

/// Interval at which figures are sent to control.
const FIGURES_INTERVAL: Duration = Duration::from_secs(2);

/// Settings of job tracking.
#[derive(Debug, Clone)]
pub struct TrackingSettings {
    /// Node name of the entry.
    pub entry: NodeId,
    /// Incarnation of the entry at its start; a fence replaces it later.
    pub incarnation: Incarnation,
    /// Maximum tasks per job, and retention of ended submissions.
    pub limits: TrackerLimits,
}

struct JobTracking {
    context: ServiceContext,
    log: EventLog,
    tracker: JobTracker,
    entry: NodeId,
    meter: FigureMeter,
    time_zone: String,
    next_figures_at: Instant,
    pending_replies: IndexMap<CallId, Reservation<CallerReply>>,
    own_ring: RingSender<JobMessage>,
    dispatch: RingSender<DispatchMessage>,
    control: RingSender<ControlLinkMessage>,
}

/// Runs the service until its ring is closed.
///
/// # Errors
/// Fails if a service that it sends to is not registered.
pub fn run(
    ring: &RingReceiver<JobMessage>,
    registry: &Registry<ServiceName>,
    context: ServiceContext,
    settings: TrackingSettings,
) -> Result<(), KernelError> {
    let owner = OwnerRef { entry: settings.entry.clone(), incarnation: settings.incarnation };
    let clock = context.clock.clone();
    let state = JobTracking {
        log: context.event_log(registry)?,
        tracker: JobTracker::new(settings.limits, owner),
        meter: FigureMeter::new(settings.entry.clone(), settings.incarnation),
        entry: settings.entry,
        time_zone: "UTC".to_owned(),
        next_figures_at: clock.now() + FIGURES_INTERVAL,
        pending_replies: IndexMap::new(),
        own_ring: registry.find(ServiceName::JobTracking)?,
        dispatch: registry.find(ServiceName::TaskDispatch)?,
        control: registry.find(ServiceName::ControlLink)?,
        context,
    };
    run_duty(ring, &clock, DutyHandler { state, handle, next_deadline });
    Ok(())
}

fn next_deadline(state: &JobTracking) -> Option<Instant> {
    let timer = state.tracker.next_deadline();
    Some(timer.map_or(state.next_figures_at, |at| at.min(state.next_figures_at)))
}

fn handle(state: &mut JobTracking, now: Instant, message: Option<JobMessage>) {
    let steps = match message {
        Some(message) => state.on_message(now, message),
        None => Vec::new(),
    };
    state.execute_steps(now, steps);
    let due_steps = state.tracker.on_tick(now);
    state.execute_steps(now, due_steps);
    state.send_figures(now);
    let in_progress = state.tracker.in_progress() + state.pending_replies.len();
    state.context.gate.set(in_progress);
    state.context.counters.set_in_progress(in_progress);
}

impl JobTracking {
    fn on_message(&mut self, now: Instant, message: JobMessage) -> Vec<TrackerStep> {
        match message {
            JobMessage::Caller { call, request, arrived, reply } => {
                self.pending_replies.insert(call, reply);
                self.tracker.on_request(arrived, call, request)
            }
            JobMessage::Admitted { key } => self.tracker.on_admitted(now, &key),
            JobMessage::Refused { key, failure } => self.tracker.on_refused(now, &key, failure),
            JobMessage::TaskEnded { key, end } => self.tracker.on_task_ended(now, &key, end),
            JobMessage::TaskEvent { key, event } => {
                self.tracker.on_task_event(now, &key, &event);
                Vec::new()
            }
            JobMessage::Ledger { key, reply } => {
                self.log_ledger_reply(&key, &reply);
                self.tracker.on_ledger_reply(now, &key, reply)
            }
            JobMessage::Config { config } => {
                self.time_zone = config.text.time_zone.to_string();
                self.tracker.on_config(config);
                Vec::new()
            }
            JobMessage::Lease { state } => self.on_lease(now, state),
            JobMessage::FiguresRecorded { sequence } => {
                self.meter.on_acked(sequence);
                Vec::new()
            }
            JobMessage::Drain => {
                self.tracker.on_drain();
                Vec::new()
            }
        }
    }

    fn log_ledger_reply(&self, key: &JobKey, reply: &LedgerReply) {
        let event = match reply {
            LedgerReply::Applied { .. } => return,
            LedgerReply::NotAccepted => "ledger_not_reached",
            LedgerReply::ReplyLost => "ledger_answer_lost",
        };
        self.log.warn(EventLine::new(event).with("submission", key));
    }

    fn on_lease(&mut self, now: Instant, state: LeaseState) -> Vec<TrackerStep> {
        match state {
            LeaseState::ValidUntil(_) => Vec::new(),
            LeaseState::Fenced { incarnation } => {
                let line = EventLine::new("fenced").with("new_incarnation", incarnation);
                self.log.warn(line);
                let owner = OwnerRef { entry: self.entry.clone(), incarnation };
                self.tracker.on_fenced(now, owner)
            }
        }
    }

    fn execute_steps(&mut self, now: Instant, steps: Vec<TrackerStep>) {
        for step in steps {
            self.execute_step(now, step);
        }
    }

    fn execute_step(&mut self, now: Instant, step: TrackerStep) {
        match step {
            TrackerStep::Admit { request, release } => self.admit(now, request, release),
            TrackerStep::Release { key, order } => {
                self.notify_dispatch(DispatchMessage::Release { key, order });
            }
            TrackerStep::Withdraw { key } => {
                self.notify_dispatch(DispatchMessage::Withdraw { key })
            }
            TrackerStep::Claim(order) => {
                let key = order.key.clone();
                self.request_ledger_command(now, key, Command::Claim { order });
            }
            TrackerStep::QueryLedger { key, fingerprint } => {
                self.request_ledger_command(now, key.clone(), Command::Peek { key, fingerprint });
            }
            TrackerStep::Record { key, epoch, owner, answer } => {
                let command = Command::Finish { key: key.clone(), epoch, owner, answer };
                self.request_ledger_command(now, key, command);
            }
            TrackerStep::Answer { call, answer } => self.answer_caller(call, answer),
            TrackerStep::Figure(event) => self.meter.count(event, self.context.counters.wasted()),
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        request: model::AdmitRequest,
        release: Option<model::ReleaseOrder>,
    ) {
        let key = request.key.clone();
        let sent = self.dispatch.push(DispatchMessage::Admit { request, release });
        if sent.is_err() {
            let failure =
                Failure::new(ErrorKind::Overloaded, "the queue of messages to dispatch is full");
            let steps = self.tracker.on_refused(now, &key, failure);
            self.execute_steps(now, steps);
        }
    }

    /// Sends a message for tasks that dispatch has admitted. Dispatch limits
    /// admission so that its ring has space for these; a full ring violates that
    /// invariant, and then the deadline of the submission ends it.
    fn notify_dispatch(&self, message: DispatchMessage) {
        if self.dispatch.push(message).is_err() {
            self.log.warn(EventLine::new("ring_full").with("ring", ServiceName::TaskDispatch));
        }
    }

    fn request_ledger_command(&mut self, now: Instant, key: JobKey, command: Command) {
        let Some(reply) = self.own_ring.reserve() else { return self.on_ledger_unsent(now, &key) };
        let message =
            ControlLinkMessage::Ledger { key: key.clone(), command: Box::new(command), reply };
        if self.control.push(message).is_err() {
            self.on_ledger_unsent(now, &key);
        }
    }

    fn on_ledger_unsent(&mut self, now: Instant, key: &JobKey) {
        let steps = self.tracker.on_ledger_reply(now, key, LedgerReply::NotAccepted);
        self.execute_steps(now, steps);
    }

    fn answer_caller(&mut self, call: CallId, answer: CallerAnswer) {
        match &answer {
            CallerAnswer::Failed { failure } => self.count_failure(failure),
            CallerAnswer::Request { .. } | CallerAnswer::Job { .. } => {
                self.context.counters.count_completion();
            }
            _ => {}
        }
        if let Some(reply) = self.pending_replies.swap_remove(&call) {
            reply.push(CallerReply { call, answer });
        }
    }

    fn count_failure(&self, failure: &Failure) {
        self.context.counters.count_failure(failure.kind);
        if failure.ran() == Ran::No {
            self.context.counters.count_message(MessageKind::Refusal);
        }
        let line = EventLine::new("failed_answer")
            .with("kind", failure.kind)
            .with("ran", failure.ran())
            .with("detail", &failure.detail);
        self.log.info(line);
    }

    fn send_figures(&mut self, now: Instant) {
        if now < self.next_figures_at {
            return;
        }
        self.next_figures_at = now + FIGURES_INTERVAL;
        let wall_clock = self.context.clock.wall_clock();
        if let Some(increment) = self.meter.increment(wall_clock, &self.time_zone) {
            let message = ControlLinkMessage::Figures { increment };
            if self.control.push(message).is_err() {
                self.log.warn(EventLine::new("figures_delayed"));
            }
        }
    }
}
