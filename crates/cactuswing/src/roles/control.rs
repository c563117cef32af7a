//! The services of a control host.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use decisions::control::{ControlState, StoredReplica};
use decisions::schedule::{ScheduleLimits, SchedulerKind};
use edges::control_link::incarnation_at;
use edges::disk::HostFolder;
use edges::group_join::GroupJoin;
use edges::journal::{Journal, RecoveredJournal};
use kernel::{Kernel, SharedClock, StopSignal};
use model::{ControlPeer, ControlReply, ControlSettings, ServiceName, host_name};
use services::replicated_log::LogSetup;

use super::{DUTY_RING, RoleError, RunningRole, assembled, context, local_address, with_log};

/// Calls of nodes, operators and replicas that may wait at a time.
const CALL_RING: usize = 16_384;
/// How long an agent may keep runs at work after it asked for orders; longer
/// than an election takes.
const RUN_GRANT: Duration = Duration::from_secs(4);
/// How long an agent's question waits for orders.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// How long word of recorded ends waits for an order to go with.
const NOTED_WAIT: Duration = Duration::from_millis(150);

/// Starts a control host.
///
/// # Errors
/// When its address can't be listened on, or its data folder can't be used.
pub fn start_control(
    settings: &ControlSettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    let context = context(clock);
    let listener = edges::caller_edge::listen(settings.listen)?;
    let address = local_address(&listener, settings.listen)?;
    let mut kernel = Kernel::default();
    with_log(&mut kernel, clock)?;

    let lease = settings.lease();
    let lease_context = context.clone();
    kernel.register(ServiceName::Membership, DUTY_RING, move |ring, registry| {
        assembled(services::membership::run(&ring, &registry, &lease_context, lease));
    })?;

    let (journal, found) = open_journal(settings)?;
    kernel.register(ServiceName::JournalWriter, DUTY_RING, move |ring, registry| {
        edges::journal_writer::run(&ring, &registry, journal);
    })?;

    let own = own_name(settings);
    let counters = context.counters.clone();
    kernel.register(ServiceName::ReplicaLinks, DUTY_RING, move |ring, registry| {
        edges::replica_links::run(&ring, &registry, &own, &counters);
    })?;

    let kind = SchedulerKind::Control;
    let limits = schedule_limits(settings);
    let schedule_context = context.clone();
    kernel.register(ServiceName::JobScheduling, DUTY_RING, move |ring, registry| {
        assembled(services::job_scheduling::run(&ring, &registry, &schedule_context, kind, limits));
    })?;

    let setup = log_setup(settings, clock, found)?;
    let log_context = context.clone();
    kernel.register(ServiceName::ReplicatedLog, DUTY_RING, move |ring, registry| {
        assembled(services::replicated_log::run(&ring, &registry, log_context, setup));
    })?;

    kernel.register(ServiceName::ControlEdge, CALL_RING, move |ring, registry| {
        edges::control_edge::run(&ring, &registry, listener);
    })?;

    if let Some(join) = group_join(settings) {
        let join_context = context.clone();
        kernel.register::<(), _>(ServiceName::GroupJoin, 1, move |ring, registry| {
            let log = join_context.event_log(&registry).expect("the log writer is registered");
            edges::group_join::run(&ring, join, log);
        })?;
    }

    if let Some(address) = settings.operators {
        let listener = edges::caller_edge::listen(address)?;
        let front = platform::OperatorFront { port: address.port() };
        let front_context = context.clone();
        kernel.register::<ControlReply, _>(
            ServiceName::OperatorFront,
            CALL_RING,
            move |ring, registry| {
                let log = front_context.event_log(&registry).expect("the log writer is registered");
                front.run(&ring, &registry, log, listener);
            },
        )?;
    }

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
        begin_drain: Box::new(|| {}),
    })
}

/// A host that is not a founder joins the group at its seeds; where it is a
/// member already, it learns so at once.
fn group_join(settings: &ControlSettings) -> Option<GroupJoin> {
    let own = ControlPeer { name: own_name(settings), address: settings.listen };
    let group = settings.first_group();
    let founds = settings.found && group.contains(&own);
    if founds || settings.seeds.is_empty() {
        return None;
    }
    let seeds = group.into_iter().map(|peer| peer.address);
    let seeds: Vec<SocketAddr> = seeds.filter(|seed| *seed != settings.listen).collect();
    (!seeds.is_empty()).then_some(GroupJoin { own, seeds })
}

/// A host whose group is formed from addresses is named by its own.
fn own_name(settings: &ControlSettings) -> model::NodeId {
    if settings.seeds.is_empty() { settings.name.clone() } else { host_name(settings.listen) }
}

fn schedule_limits(settings: &ControlSettings) -> ScheduleLimits {
    ScheduleLimits {
        grant: RUN_GRANT,
        lease: settings.run_lease(),
        poll_wait: POLL_WAIT,
        noted_wait: NOTED_WAIT,
        remote_factor: settings.remote_factor,
    }
}

fn open_journal(settings: &ControlSettings) -> Result<(Journal, RecoveredJournal), RoleError> {
    let data = |error: String| RoleError::Data {
        reason: format!("data folder {}: {error}", settings.data_folder),
    };
    let folder = HostFolder::open(Path::new(&settings.data_folder))
        .map_err(|error| data(error.to_string()))?;
    Journal::open(Box::new(folder)).map_err(|error| data(error.to_string()))
}

fn log_setup(
    settings: &ControlSettings,
    clock: &SharedClock,
    found: RecoveredJournal,
) -> Result<LogSetup, RoleError> {
    let RecoveredJournal { hard, mark, state, records, .. } = found;
    let state: ControlState = match state.as_str() {
        "" => ControlState::default(),
        text => serde_json::from_str(text).map_err(|error| RoleError::Data {
            reason: format!("the snapshot in {} can't be read: {error}", settings.data_folder),
        })?,
    };
    Ok(LogSetup {
        name: own_name(settings),
        boot: incarnation_at(clock.calendar()),
        group: settings.first_group(),
        found: settings.found,
        wanted_hosts: settings.wanted_hosts(),
        election: settings.election(),
        retention: settings.retention(),
        snapshot_records: settings.snapshot_records,
        stored: StoredReplica { hard, mark, records },
        state,
    })
}
