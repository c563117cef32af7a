//! The services of an agent beside one backend server that runs tasks of
//! queues.

use std::time::Duration;

use decisions::agent::RunLimits;
use edges::control_link::incarnation_at;
use edges::schedule_link::ScheduleLink;
use kernel::{Kernel, SharedClock, StopSignal};
use model::{AgentSettings, ServerSettings, ServiceName};
use platform::ServerFront;
use services::server_runs::RunSettings;

use super::{DUTY_RING, RoleError, RunningRole, assembled, context, local_address, with_log};

/// How long a hold waits for an end, as a share of the lease.
const HOLD_SHARE: f64 = 0.4;
/// Pause between holds that bring nothing new.
const HOLD_GAP: Duration = Duration::from_millis(15);
/// Pause before a call without an answer is made again.
const RETRY_GAP: Duration = Duration::from_millis(100);
/// How long a run of an unknown scheduler waits for one to claim it.
const CLAIM_WAIT: Duration = Duration::from_millis(1_500);

/// Starts an agent beside one backend server.
///
/// # Errors
/// When its address can't be listened on.
pub(super) fn start_server_agent(
    settings: &AgentSettings,
    server: &ServerSettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    let context = context(clock);
    let listener = edges::caller_edge::listen(settings.announce_listen)?;
    let address = local_address(&listener, settings.announce_listen)?;
    let incarnation = incarnation_at(clock.calendar());
    let mut kernel = Kernel::default();
    with_log(&mut kernel, clock)?;

    let link = ScheduleLink {
        clock: clock.clone(),
        agent: settings.worker.clone(),
        incarnation,
        controls: settings.control_addresses(),
    };
    let link_context = context.clone();
    kernel.register(ServiceName::ScheduleLink, DUTY_RING, move |ring, registry| {
        let log = link_context.event_log(&registry).expect("the log writer is registered");
        edges::schedule_link::run(&ring, &registry, link, log);
    })?;

    let front = ServerFront { clock: clock.clone(), server: server.address };
    let front_context = context.clone();
    kernel.register(ServiceName::ServerFront, DUTY_RING, move |ring, registry| {
        let log = front_context.event_log(&registry).expect("the log writer is registered");
        front.run(&ring, &registry, log, listener);
    })?;

    let lease = Duration::from_millis(server.lease_ms);
    let runs = RunSettings {
        agent: settings.worker.clone(),
        incarnation,
        limits: RunLimits {
            lease,
            hold_wait: lease.mul_f64(HOLD_SHARE),
            hold_gap: HOLD_GAP,
            retry_gap: RETRY_GAP,
            claim_wait: CLAIM_WAIT,
        },
    };
    let run_context = context.clone();
    kernel.register(ServiceName::ServerRuns, DUTY_RING, move |ring, registry| {
        assembled(services::server_runs::run(&ring, &registry, run_context, runs));
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
        linger: Duration::ZERO,
        // Runs go on under their lease until the next process takes them over.
        begin_drain: Box::new(|| {}),
    })
}
