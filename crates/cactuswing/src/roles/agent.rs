//! Assembles an agent: learns backend servers from their announcements and runs
//! the tasks that entries order.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use decisions::agent::StartLimits;
use edges::backend_edge::{BackendEdge, NoopStopper};
use edges::control_link::{ControlLink, incarnation_at};
use kernel::{Kernel, SharedClock, StopSignal};
use model::{
    AgentSettings, AgentView, MemberRecord, NodeRole, ServiceName, StartMessage, WorkerSize,
};
use services::task_starts::StartSettings;

use super::server_agent::start_server_agent;
use super::{
    DUTY_RING_SLOTS, RoleError, RunningRole, context, expect_assembled, local_address,
    peer_settings, register_control_link, register_log_writer,
};

/// Time for entries to learn that an agent drains. An order that is sent to an
/// agent that has already ended leaves the outcome of its task unknown.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Starts an agent; one for a single server that runs tasks of queues if the
/// settings name it.
///
/// # Errors
/// When one of its addresses can't be listened on or a thread can't be started.
pub fn start_agent(
    settings: &AgentSettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    if let Some(server) = &settings.server {
        return start_server_agent(settings, server, clock);
    }
    let context = context(clock);
    let stop = StopSignal::default();
    let listener = edges::caller_edge::listen(settings.listen)?;
    let address = local_address(&listener, settings.listen)?;
    let announce = edges::caller_edge::listen(settings.announce_listen)?;
    let announce_address = local_address(&announce, settings.announce_listen)?;
    let incarnation = incarnation_at(clock.wall_clock());
    let mut kernel = Kernel::default();
    register_log_writer(&mut kernel, clock)?;

    let link = ControlLink {
        clock: clock.clone(),
        counters: context.counters.clone(),
        member: MemberRecord {
            node: settings.worker.clone(),
            role: NodeRole::Agent,
            incarnation,
            address: settings.advertise.unwrap_or(address),
            domain: settings.domain.clone(),
        },
        controls: settings.control_addresses(),
        ready: Arc::new(AtomicBool::new(false)),
    };
    register_control_link(&mut kernel, &context, link)?;

    let edge = BackendEdge {
        clock: clock.clone(),
        counters: context.counters.clone(),
        stop: stop.clone(),
        limits: settings.limits,
        stopper: Arc::new(NoopStopper),
    };
    kernel.register(ServiceName::BackendEdge, DUTY_RING_SLOTS, move |ring, registry| {
        edges::backend_edge::run(&ring, &registry, edge, announce);
    })?;

    let starts = StartSettings {
        incarnation,
        view: initial_view(settings, incarnation),
        limits: StartLimits {
            queue_limit: settings.queue_limit,
            retention: settings.retention(),
            announce_ttl: settings.announce_ttl(),
        },
    };
    let start_context = context.clone();
    kernel.register::<StartMessage, _>(
        ServiceName::TaskStarts,
        DUTY_RING_SLOTS,
        move |ring, registry| {
            expect_assembled(services::task_starts::run(&ring, &registry, start_context, starts));
        },
    )?;

    let (edge_context, edge_clock, process) = (context.clone(), clock.clone(), settings.limits);
    kernel.register(ServiceName::AgentEdge, DUTY_RING_SLOTS, move |ring, registry| {
        let peers = peer_settings(&edge_context, &edge_clock, &registry, process);
        edges::agent_edge::run(&ring, &registry, listener, peers);
    })?;

    let registry = kernel.start()?;
    let task_starts = registry.find::<StartMessage>(ServiceName::TaskStarts)?;
    Ok(RunningRole {
        kernel,
        address,
        announce_address: Some(announce_address),
        counters: context.counters,
        clock: clock.clone(),
        stop,
        gate: context.gate,
        drain_limit: settings.drain_limit(),
        min_drain_time: MIN_DRAIN_TIME,
        begin_drain: Box::new(move || {
            // While the ring is full, new work is refused without this message,
            // and the drain limit ends the drain.
            let _full = task_starts.push(StartMessage::Drain);
        }),
    })
}

/// The agent's view before any backend server has announced itself.
fn initial_view(settings: &AgentSettings, incarnation: model::Incarnation) -> AgentView {
    AgentView {
        worker: settings.worker.clone(),
        incarnation,
        version: 0,
        domain: settings.domain.clone(),
        rack: settings.rack.clone(),
        draining: false,
        size: WorkerSize {
            cores: settings.cores,
            memory_mb: settings.memory_mb,
            accelerators: settings.accelerators,
        },
        services: Vec::new(),
    }
}
