//! The services of an entry for callers of queues.

use edges::job_calls::JobCalls;
use kernel::{Kernel, SharedClock, StopSignal};
use model::{EntrySettings, FrontSettings, QueueFrontMessage, ServiceName};
use platform::QueueFront;

use super::{RoleError, RunningRole, context, local_address, with_log};

/// Starts an entry for callers of queues.
///
/// # Errors
/// When one of its addresses can't be listened on.
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
    with_log(&mut kernel)?;

    let calls = JobCalls { clock: clock.clone(), controls: settings.control_addresses() };
    let call_context = context.clone();
    kernel.register(ServiceName::JobCalls, settings.call_limit, move |ring, registry| {
        let log = call_context.event_log(&registry).expect("the log writer is registered");
        edges::job_calls::run(&ring, &registry, calls, log);
    })?;

    let queue_front = QueueFront {
        clock: clock.clone(),
        counters: context.counters.clone(),
        gate: context.gate.clone(),
        linger: std::time::Duration::from_millis(front.linger_ms),
    };
    let front_context = context.clone();
    kernel.register(ServiceName::QueueFront, settings.call_limit, move |ring, registry| {
        let log = front_context.event_log(&registry).expect("the log writer is registered");
        queue_front.run(&ring, &registry, log, callers, ready);
    })?;

    let registry = kernel.start()?;
    let front = registry.find::<QueueFrontMessage>(ServiceName::QueueFront)?;
    // The front opens the gate when its drain is over.
    context.gate.set(1);
    Ok(RunningRole {
        kernel,
        address,
        announce_address: None,
        counters: context.counters,
        clock: clock.clone(),
        stop: StopSignal::default(),
        gate: context.gate,
        drain_limit: settings.drain_limit(),
        begin_drain: Box::new(move || {
            // A full ring refuses new calls by itself; the drain's limit covers it.
            let _full = front.push(QueueFrontMessage::Drain);
        }),
    })
}
