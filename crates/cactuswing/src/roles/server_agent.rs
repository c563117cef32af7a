//! Assembles an agent beside one backend server that runs tasks of queues.

use std::time::Duration;

use decisions::agent::RunLimits;
use edges::control_link::incarnation_at;
use edges::schedule_link::ScheduleLink;
use kernel::{Kernel, SharedClock};
use model::{AgentSettings, ServerSettings, ServiceName};
use platform::ServerFront;
use services::server_runs::RunSettings;

use super::{
    DUTY_RING_SLOTS, RoleError, RunningRole, context, expect_assembled, local_address,
    register_log_writer,
};

/// How long a lease renewal waits at the backend server for a run to end, as a
/// share of the lease.
const RENEWAL_WAIT_SHARE: f64 = 0.4;
/// Pause after a renewal that reported nothing new, and base of the exponential
/// backoff after failed ones.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(15);
/// Pause before a call to the backend server that got no reply is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a run whose scheduler is unknown may stay active for one to claim it. Its
/// lease is not extended meanwhile, nor that of the others.
const CLAIM_WAIT: Duration = Duration::from_millis(300);

/// Starts an agent beside one backend server.
///
/// # Errors
/// When its address can't be listened on or a thread can't be started.
pub(super) fn start_server_agent(
    settings: &AgentSettings,
    server: &ServerSettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    let context = context(clock);
    let listener = edges::caller_edge::listen(settings.announce_listen)?;
    let address = local_address(&listener, settings.announce_listen)?;
    let incarnation = incarnation_at(clock.wall_clock());
    let mut kernel = Kernel::default();
    register_log_writer(&mut kernel, clock)?;

    let link = ScheduleLink {
        clock: clock.clone(),
        agent: settings.worker.clone(),
        incarnation,
        controls: settings.control_addresses(),
    };
    let link_context = context.clone();
    kernel.register(ServiceName::ScheduleLink, DUTY_RING_SLOTS, move |ring, registry| {
        let log = link_context.event_log(&registry).expect("the log writer is registered");
        edges::schedule_link::run(&ring, &registry, link, log);
    })?;

    let front = ServerFront {
        clock: clock.clone(),
        server_address: server.address,
        limits: settings.limits,
        counters: context.counters.clone(),
    };
    let front_context = context.clone();
    kernel.register(ServiceName::ServerFront, DUTY_RING_SLOTS, move |ring, registry| {
        let log = front_context.event_log(&registry).expect("the log writer is registered");
        front.run(&ring, &registry, log, listener);
    })?;

    let lease = Duration::from_millis(server.lease_ms);
    let runs = RunSettings {
        agent: settings.worker.clone(),
        incarnation,
        domain: settings.domain.clone(),
        limits: RunLimits {
            lease,
            renewal_wait: lease.mul_f64(RENEWAL_WAIT_SHARE),
            renewal_interval: RENEWAL_INTERVAL,
            retry_delay: RETRY_INTERVAL,
            claim_wait: CLAIM_WAIT,
            speed_reports: server.speed_reports,
            resend_starts: server.resend_starts,
            interference: server.interference,
        },
    };
    let run_context = context.clone();
    kernel.register(ServiceName::ServerRuns, DUTY_RING_SLOTS, move |ring, registry| {
        expect_assembled(services::server_runs::run(&ring, &registry, run_context, runs));
    })?;

    kernel.start()?;
    // Nothing to drain: runs continue under their leases, and the next agent process takes
    // them over.
    Ok(RunningRole::without_drain(kernel, address, context))
}
