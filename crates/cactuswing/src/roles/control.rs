//! Assembles a control host: the replicated log with its journal, membership,
//! job scheduling and the operators' front.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use decisions::connections::max_known_peers;
use decisions::control::{ControlState, StoredReplica};
use decisions::schedule::{ScheduleLimits, SchedulerKind};
use edges::control_link::incarnation_at;
use edges::disk::HostFolder;
use edges::group_join::GroupJoin;
use edges::journal::{Journal, RecoveredJournal};
use kernel::{Kernel, SharedClock};
use model::{
    AdmissionRule, ControlPeer, ControlReply, ControlSettings, GroupJoinMessage, ServiceName,
    host_name,
};
use services::ServiceContext;
use services::replicated_log::LogSetup;

use super::{
    DUTY_RING_SLOTS, RoleError, RunningRole, context, expect_assembled, local_address,
    peer_settings, register_log_writer,
};

/// Messages that may wait in the rings of the duties that serve nodes, replicas
/// and operators.
const CALL_RING_SLOTS: usize = 16_384;
/// How long an agent may keep runs going after it sent the latest message that the
/// leader acknowledged; longer than an election takes.
const RUN_GRANT: Duration = Duration::from_secs(4);
/// How long an agent's message waits for orders that acknowledge it.
const REPLY_WAIT: Duration = Duration::from_millis(350);
/// How long the acknowledgement of recorded ends waits for an order to be sent
/// along with it.
const ACK_DELAY: Duration = Duration::from_millis(150);

/// Longest time that the end of a host waits for its group, which gives up sooner.
const LEAVE_LIMIT: Duration = Duration::from_millis(4_500);

/// Starts a control host.
///
/// # Errors
/// When one of its addresses can't be listened on, its data folder can't be
/// read, or a thread can't be started.
pub fn start_control(
    settings: &ControlSettings,
    clock: &SharedClock,
) -> Result<RunningRole, RoleError> {
    let context = context(clock);
    let listener = edges::caller_edge::listen(settings.listen)?;
    let address = local_address(&listener, settings.listen)?;
    let mut kernel = Kernel::default();
    register_log_writer(&mut kernel, clock)?;

    let lease = settings.lease();
    let membership_context = context.clone();
    kernel.register(ServiceName::Membership, DUTY_RING_SLOTS, move |ring, registry| {
        expect_assembled(services::membership::run(&ring, &registry, &membership_context, lease));
    })?;

    let (journal, recovered) = open_journal(settings)?;
    let journal_clock = clock.clone();
    kernel.register(ServiceName::JournalWriter, DUTY_RING_SLOTS, move |ring, registry| {
        edges::journal_writer::run(&ring, &registry, &journal_clock, journal);
    })?;

    let own_name = own_name(settings);
    let counters = context.counters.clone();
    kernel.register(ServiceName::ReplicaLinks, DUTY_RING_SLOTS, move |ring, registry| {
        edges::replica_links::run(&ring, &registry, &own_name, &counters);
    })?;

    let kind = SchedulerKind::Control;
    let limits = schedule_limits(settings);
    let schedule_context = context.clone();
    kernel.register(ServiceName::JobScheduling, DUTY_RING_SLOTS, move |ring, registry| {
        expect_assembled(services::job_scheduling::run(
            &ring,
            &registry,
            &schedule_context,
            kind,
            limits,
        ));
    })?;

    let stream_context = context.clone();
    let max_links = max_known_peers(settings.limits);
    kernel.register(ServiceName::ScheduleEdge, DUTY_RING_SLOTS, move |ring, registry| {
        let log = stream_context.event_log(&registry).expect("the log writer is registered");
        edges::schedule_edge::run(&ring, &registry, log, None, max_links);
    })?;

    let setup = log_setup(settings, clock, recovered)?;
    let log_context = context.clone();
    kernel.register(ServiceName::ReplicatedLog, DUTY_RING_SLOTS, move |ring, registry| {
        expect_assembled(services::replicated_log::run(&ring, &registry, log_context, setup));
    })?;

    let (edge_clock, edge_context, process) = (clock.clone(), context.clone(), settings.limits);
    kernel.register(ServiceName::ControlEdge, CALL_RING_SLOTS, move |ring, registry| {
        let peers = peer_settings(&edge_context, &edge_clock, &registry, process);
        edges::control_edge::run(&ring, &registry, listener, peers);
    })?;

    let join = group_join(settings, clock, &context);
    let joins_group = join.is_some();
    if let Some(join) = join {
        let join_context = context.clone();
        kernel.register(ServiceName::GroupJoin, DUTY_RING_SLOTS, move |ring, registry| {
            let log = join_context.event_log(&registry).expect("the log writer is registered");
            edges::group_join::run(&ring, &registry, join, log);
        })?;
    }

    if let Some(address) = settings.operators {
        let listener = edges::caller_edge::listen(address)?;
        let front = platform::OperatorFront {
            host: settings.listen,
            port: address.port(),
            clock: clock.clone(),
            limits: settings.limits,
            counters: context.counters.clone(),
        };
        let front_context = context.clone();
        kernel.register::<ControlReply, _>(
            ServiceName::OperatorFront,
            CALL_RING_SLOTS,
            move |ring, registry| {
                let log = front_context.event_log(&registry).expect("the log writer is registered");
                front.run(&ring, &registry, log, listener);
            },
        )?;
    }

    let registry = kernel.start()?;
    if !joins_group {
        // Nothing to drain: committed state is in the journals of a quorum.
        return Ok(RunningRole::without_drain(kernel, address, context));
    }
    // One item in progress, the membership: its duty sets the gate to 0 once this host has
    // left the group, or the group keeps it.
    context.gate.set(1);
    let join = registry.find::<GroupJoinMessage>(ServiceName::GroupJoin)?;
    let begin_drain = move || {
        // Its ring has far more room than there are messages.
        let _full = join.push(GroupJoinMessage::Leave);
    };
    Ok(RunningRole {
        drain_limit: LEAVE_LIMIT,
        begin_drain: Box::new(begin_drain),
        ..RunningRole::without_drain(kernel, address, context)
    })
}

/// The join of a host whose group forms from seeds, or `None` without another seed. A host
/// that is already a member learns so as soon as it asks.
fn group_join(
    settings: &ControlSettings,
    clock: &SharedClock,
    context: &ServiceContext,
) -> Option<GroupJoin> {
    let own_peer = ControlPeer { name: own_name(settings), address: settings.listen };
    let group = settings.initial_group();
    let bootstraps = settings.bootstrap && group.contains(&own_peer);
    if settings.seeds.is_empty() {
        return None;
    }
    let seeds = group.into_iter().map(|peer| peer.address);
    let seeds: Vec<SocketAddr> = seeds.filter(|seed| *seed != settings.listen).collect();
    (!seeds.is_empty()).then(|| GroupJoin {
        clock: clock.clone(),
        own_peer,
        seeds,
        bootstraps,
        target_hosts: settings.target_hosts(),
        gate: context.gate.clone(),
    })
}

/// The host's name in the group: derived from its address where the group is
/// formed from seed addresses, else taken from the settings.
fn own_name(settings: &ControlSettings) -> model::NodeId {
    if settings.seeds.is_empty() { settings.name.clone() } else { host_name(settings.listen) }
}

fn schedule_limits(settings: &ControlSettings) -> ScheduleLimits {
    ScheduleLimits {
        incarnation: 0,
        grant: RUN_GRANT,
        lease: settings.run_lease(),
        reply_wait: REPLY_WAIT,
        ack_delay: ACK_DELAY,
        remote_factor: settings.remote_factor,
        // Only best-effort jobs have callers that wait for their ends.
        estimate_spread: 0.0,
        speed_reports: false,
        admission: AdmissionRule::Backlog,
        precedence: settings.precedence,
        guaranteed_share: settings.guaranteed_share,
        rack_reserve: settings.rack_reserve,
        interference: false,
    }
}

fn open_journal(settings: &ControlSettings) -> Result<(Journal, RecoveredJournal), RoleError> {
    let data_error = |error: String| RoleError::Data {
        reason: format!("data folder {}: {error}", settings.data_folder),
    };
    let folder = HostFolder::open(Path::new(&settings.data_folder))
        .map_err(|error| data_error(error.to_string()))?;
    Journal::open(Box::new(folder)).map_err(|error| data_error(error.to_string()))
}

/// The initial state of the replicated log, from the settings and the journal.
fn log_setup(
    settings: &ControlSettings,
    clock: &SharedClock,
    recovered: RecoveredJournal,
) -> Result<LogSetup, RoleError> {
    let RecoveredJournal { hard_state, snapshot_mark, snapshot_state, records, .. } = recovered;
    let state: ControlState = match snapshot_state.as_str() {
        "" => ControlState::default(),
        text => serde_json::from_str(text).map_err(|error| RoleError::Data {
            reason: format!("the snapshot in {} can't be read: {error}", settings.data_folder),
        })?,
    };
    Ok(LogSetup {
        name: own_name(settings),
        boot: incarnation_at(clock.wall_clock()),
        group: settings.initial_group(),
        bootstrap: settings.bootstrap,
        target_hosts: settings.target_hosts(),
        election: settings.election(),
        retention: settings.retention(),
        snapshot_records: settings.snapshot_records,
        stored: StoredReplica { hard_state, mark: snapshot_mark, records },
        state,
    })
}
