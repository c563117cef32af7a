//! The services of a control host.

use std::time::Duration;

use kernel::{Kernel, SharedClock, StopSignal};
use model::{ControlSettings, ServiceName};

use super::{DUTY_RING, RoleError, RunningRole, assembled, context, local_address, with_log};

/// Starts a control host.
///
/// # Errors
/// When its address can't be listened on.
pub fn start_control(
    settings: &ControlSettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    let context = context(clock);
    let listener = edges::caller_edge::listen(settings.listen)?;
    let address = local_address(&listener, settings.listen)?;
    let mut kernel = Kernel::default();
    with_log(&mut kernel)?;

    let lease = settings.lease();
    let lease_context = context.clone();
    kernel.register(ServiceName::Membership, DUTY_RING, move |ring, registry| {
        assembled(services::membership::run(&ring, &registry, &lease_context, lease));
    })?;

    let name = settings.name.clone();
    let log_context = context.clone();
    kernel.register(ServiceName::ReplicatedLog, DUTY_RING, move |ring, registry| {
        assembled(services::replicated_log::run(&ring, &registry, log_context, name));
    })?;

    kernel.register(ServiceName::ControlEdge, DUTY_RING, move |ring, registry| {
        edges::control_edge::run(&ring, &registry, listener);
    })?;

    kernel.start()?;
    Ok(RunningRole {
        kernel,
        address,
        announce_address: None,
        counters: context.counters,
        clock: clock.clone(),
        stop: StopSignal::default(),
        gate: context.gate,
        drain_limit: Duration::ZERO,
        begin_drain: Box::new(|| {}),
    })
}
