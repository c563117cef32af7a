//! Assembles an entry for callers of queues: takes their jobs, schedules
//! best-effort ones itself and passes the others on to control.

use std::time::Duration;

use decisions::connections::max_known_peers;
use decisions::schedule::{ScheduleLimits, SchedulerKind};
use edges::control_link::incarnation_at;
use edges::job_calls::JobCalls;
use kernel::{Kernel, SharedClock, StopSignal};
use model::{EntryHost, EntrySettings, FrontSettings, QueueFrontMessage, ServiceName};
use platform::QueueFront;

use super::{
    DUTY_RING_SLOTS, RoleError, RunningRole, context, expect_assembled, local_address,
    peer_settings, register_log_writer,
};

/// How long an agent may keep an entry's runs going after it sent the latest message
/// that the entry acknowledged; shorter than a caller waits before it resubmits a job.
const RUN_GRANT: Duration = Duration::from_millis(1_000);
/// Time from when a drain has each request answered to its end, in which the answers are
/// delivered; at most [`MAX_ANSWER_SHARE`] of the drain.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Largest share of a drain that is left for delivering answers.
const MAX_ANSWER_SHARE: f64 = 0.25;
/// How long an agent's message waits for orders that acknowledge it.
const REPLY_WAIT: Duration = Duration::from_millis(200);

/// Starts an entry for callers of queues.
///
/// # Errors
/// When one of its addresses can't be listened on or a thread can't be started.
pub(super) fn start_queue_entry(
    settings: &EntrySettings,
    front: &FrontSettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    let context = context(clock);
    let callers = edges::caller_edge::listen(front.listen)?;
    let address = local_address(&callers, front.listen)?;
    let ready = edges::caller_edge::listen(front.ready)?;
    let mut kernel = Kernel::default();
    register_log_writer(&mut kernel, clock)?;

    let agents = edges::caller_edge::listen(settings.listen)?;
    let entry = EntryHost {
        name: settings.name.clone(),
        address: local_address(&agents, settings.listen)?,
    };
    let limits = ScheduleLimits {
        incarnation: incarnation_at(clock.wall_clock()),
        grant: RUN_GRANT,
        lease: Duration::from_millis(front.run_lease_ms),
        reply_wait: REPLY_WAIT,
        ack_delay: REPLY_WAIT,
        remote_factor: front.remote_factor,
        estimate_spread: front.estimate_spread,
        speed_reports: front.speed_reports,
        admission: front.admission,
        precedence: front.precedence,
        guaranteed_share: front.guaranteed_share,
        rack_reserve: front.rack_reserve,
        interference: front.interference,
    };
    let schedule_context = context.clone();
    kernel.register(ServiceName::JobScheduling, DUTY_RING_SLOTS, move |ring, registry| {
        let kind = SchedulerKind::Entry;
        expect_assembled(services::job_scheduling::run(
            &ring,
            &registry,
            &schedule_context,
            kind,
            limits,
        ));
    })?;
    let (edge_context, edge_clock, process) = (context.clone(), clock.clone(), settings.limits);
    kernel.register(ServiceName::ScheduleEdge, DUTY_RING_SLOTS, move |ring, registry| {
        let log = edge_context.event_log(&registry).expect("the log writer is registered");
        let peers = peer_settings(&edge_context, &edge_clock, &registry, process);
        let listener = Some((agents, peers));
        edges::schedule_edge::run(&ring, &registry, log, listener, max_known_peers(process));
    })?;

    let controls = settings.control_addresses();
    let calls = JobCalls { clock: clock.clone(), controls, entry };
    let call_context = context.clone();
    kernel.register(ServiceName::JobCalls, settings.call_limit, move |ring, registry| {
        let log = call_context.event_log(&registry).expect("the log writer is registered");
        edges::job_calls::run(&ring, &registry, calls, log);
    })?;

    let queue_front = QueueFront {
        clock: clock.clone(),
        counters: context.counters.clone(),
        gate: context.gate.clone(),
        drain_delay: Duration::from_millis(front.drain_delay_ms),
        max_catalog_age: Duration::from_millis(front.max_catalog_age_ms),
        limits: settings.limits,
    };
    let front_context = context.clone();
    kernel.register(ServiceName::QueueFront, settings.call_limit, move |ring, registry| {
        let log = front_context.event_log(&registry).expect("the log writer is registered");
        queue_front.run(&ring, &registry, log, callers, ready);
    })?;

    let registry = kernel.start()?;
    let front = registry.find::<QueueFrontMessage>(ServiceName::QueueFront)?;
    // One item in progress, the front: it sets the gate to 0 when its drain has
    // finished.
    context.gate.set(1);
    let drain_limit = settings.drain_limit();
    let answer_margin = ANSWER_MARGIN.min(drain_limit.mul_f64(MAX_ANSWER_SHARE));
    let drain_clock = clock.clone();
    Ok(RunningRole {
        kernel,
        address,
        announce_address: None,
        counters: context.counters,
        clock: clock.clone(),
        stop: StopSignal::default(),
        gate: context.gate,
        drain_limit,
        min_drain_time: Duration::ZERO,
        begin_drain: Box::new(move || {
            // While the ring is full, new calls are refused without this message,
            // and the drain limit ends the drain.
            let until = drain_clock.now() + (drain_limit - answer_margin);
            let _full = front.push(QueueFrontMessage::Drain { until });
        }),
    })
}
