//! The services of an agent.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use decisions::agent::StartLimits;
use edges::backend_edge::{BackendEdge, BarePlatform};
use edges::control_link::{ControlLink, incarnation_at};
use kernel::{Kernel, SharedClock, StopSignal};
use model::{
    AgentSettings, AgentView, MemberRecord, NodeRole, ServiceName, StartMessage, WorkerSize,
};
use services::task_starts::StartSettings;

use super::server_agent::start_server_agent;
use super::{
    DUTY_RING, RoleError, RunningRole, assembled, context, local_address, with_control_link,
    with_log,
};

/// How long entries may take to hear that an agent drains. An order that
/// reaches an agent that has ended leaves its task in doubt.
const HEAR_TIME: Duration = Duration::from_millis(500);

/// Starts an agent.
///
/// # Errors
/// When one of its addresses can't be listened on.
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
    let incarnation = incarnation_at(clock.calendar());
    let mut kernel = Kernel::default();
    with_log(&mut kernel, clock)?;

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
    with_control_link(&mut kernel, &context, link)?;

    let edge = BackendEdge {
        clock: clock.clone(),
        counters: context.counters.clone(),
        stop: stop.clone(),
        platform: Arc::new(BarePlatform),
    };
    kernel.register(ServiceName::BackendEdge, DUTY_RING, move |ring, registry| {
        edges::backend_edge::run(&ring, &registry, edge, announce);
    })?;

    let starts = StartSettings {
        incarnation,
        view: first_view(settings, incarnation),
        limits: StartLimits {
            queue_limit: settings.queue_limit,
            retention: settings.retention(),
            announce_ttl: settings.announce_ttl(),
        },
    };
    let start_context = context.clone();
    kernel.register::<StartMessage, _>(
        ServiceName::TaskStarts,
        DUTY_RING,
        move |ring, registry| {
            assembled(services::task_starts::run(&ring, &registry, start_context, starts));
        },
    )?;

    kernel.register(ServiceName::AgentEdge, DUTY_RING, move |ring, registry| {
        edges::agent_edge::run(&ring, &registry, listener);
    })?;

    let registry = kernel.start()?;
    let table = registry.find::<StartMessage>(ServiceName::TaskStarts)?;
    Ok(RunningRole {
        kernel,
        address,
        announce_address: Some(announce_address),
        counters: context.counters,
        clock: clock.clone(),
        stop,
        gate: context.gate,
        drain_limit: settings.drain_limit(),
        linger: HEAR_TIME,
        begin_drain: Box::new(move || {
            // A full ring refuses new work by itself; the drain's limit covers it.
            let _full = table.push(StartMessage::Drain);
        }),
    })
}

fn first_view(settings: &AgentSettings, incarnation: model::Incarnation) -> AgentView {
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
