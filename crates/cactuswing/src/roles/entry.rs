//! Assembles an entry: serves callers, tracks their jobs and dispatches tasks to
//! agents.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use decisions::entry::{DispatchLimits, TrackerLimits};
use edges::agent_links::AgentLinks;
use edges::caller_edge::CallerEdge;
use edges::control_link::{ControlLink, incarnation_at};
use kernel::{Kernel, SharedClock, StopSignal};
use model::{EntrySettings, JobMessage, MemberRecord, NodeRole, ServiceName};
use services::job_tracking::TrackingSettings;

use super::queue_entry::start_queue_entry;
use super::{
    DUTY_RING_SLOTS, RoleError, RunningRole, context, expect_assembled, local_address,
    register_control_link, register_log_writer,
};

/// How long an entry keeps ended submissions in memory.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Starts an entry; one for callers of queues if the settings have a front.
///
/// # Errors
/// When one of its addresses can't be listened on or a thread can't be started.
pub fn start_entry(
    settings: &EntrySettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    if let Some(front) = &settings.front {
        return start_queue_entry(settings, front, clock);
    }
    let context = context(clock);
    let stop = StopSignal::default();
    let ready = Arc::new(AtomicBool::new(false));
    let listener = edges::caller_edge::listen(settings.listen)?;
    let address = local_address(&listener, settings.listen)?;
    let incarnation = incarnation_at(clock.wall_clock());
    let mut kernel = Kernel::default();
    register_log_writer(&mut kernel, clock)?;

    let link = ControlLink {
        clock: clock.clone(),
        counters: context.counters.clone(),
        member: MemberRecord {
            node: settings.name.clone(),
            role: NodeRole::Entry,
            incarnation,
            address,
            domain: settings.domain.clone(),
        },
        controls: settings.control_addresses(),
        ready: Arc::clone(&ready),
    };
    register_control_link(&mut kernel, &context, link)?;

    let links = AgentLinks {
        entry: settings.name.clone(),
        counters: context.counters.clone(),
        agent_limit: settings.agent_limit,
    };
    kernel.register(ServiceName::AgentLinks, DUTY_RING_SLOTS, move |ring, registry| {
        edges::agent_links::run(&ring, &registry, links);
    })?;

    let limits = DispatchLimits { queue_limit: settings.queue_limit, seed: settings.seed };
    let dispatch_context = context.clone();
    // Calls to agents reserve the slots for their replies in this ring, so its size
    // grows with the number of tasks that may wait.
    let dispatch_ring_slots = DUTY_RING_SLOTS + 2 * settings.queue_limit;
    kernel.register(ServiceName::TaskDispatch, dispatch_ring_slots, move |ring, registry| {
        expect_assembled(services::task_dispatch::run(&ring, &registry, dispatch_context, limits));
    })?;

    let jobs = TrackingSettings {
        entry: settings.name.clone(),
        incarnation,
        limits: TrackerLimits { task_limit: settings.task_limit, keep_ended: ENDED_RETENTION },
    };
    let job_context = context.clone();
    kernel.register::<JobMessage, _>(
        ServiceName::JobTracking,
        DUTY_RING_SLOTS,
        move |ring, registry| {
            expect_assembled(services::job_tracking::run(&ring, &registry, job_context, jobs));
        },
    )?;

    let edge = CallerEdge {
        clock: clock.clone(),
        counters: context.counters.clone(),
        stop: stop.clone(),
        body_limit: settings.body_limit_bytes,
        limits: settings.limits,
        ready,
    };
    kernel.register(ServiceName::CallerEdge, settings.call_limit, move |ring, registry| {
        edges::caller_edge::run(&ring, &registry, edge, listener);
    })?;

    let registry = kernel.start()?;
    let tracking = registry.find::<JobMessage>(ServiceName::JobTracking)?;
    Ok(RunningRole {
        kernel,
        address,
        announce_address: None,
        counters: context.counters,
        clock: clock.clone(),
        stop,
        gate: context.gate,
        drain_limit: settings.drain_limit(),
        min_drain_time: Duration::ZERO,
        begin_drain: Box::new(move || {
            // While the ring is full, new work is refused without this message,
            // and the drain limit ends the drain.
            let _full = tracking.push(JobMessage::Drain);
        }),
    })
}
