//! The duty that connects an entry or agent to control: renews the lease,
//! receives configurations and member lists, and sends ledger commands and
//! figures.
//!
//! Invariants:
//! - a configuration or member list is never replaced by an older one;
//! - a lease runs from the time its renewal was sent, shortened by the bound on
//!   clock drift;
//! - a fenced node continues only under a new incarnation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use jsonrpsee::ws_client::WsClient;
use kernel::{Registry, RingReceiver, RingSender, SharedClock};
use model::{
    ConfigInForce, ControlLinkMessage, ControlReplyBody, ControlView, DispatchMessage, EventLine,
    EventLog, Incarnation, JobMessage, LeaseState, MemberRecord, MessageKind, NodeRole, NodeWatch,
    ProcessCounters, ServiceName, StartMessage,
};

use crate::edge_runtime::{block_on, spawn_lasting};
use crate::ledger_batches::LedgerBatches;
use crate::peer_api::ControlApiClient;
use crate::peer_connection::connect;
use crate::view_merge::{MergedView, ViewUpdate};

/// How long releasing the lease may take at shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before another host is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before an update is pushed again to a full ring.
const FULL_RING_DELAY: Duration = Duration::from_millis(5);
/// The clocks of two hosts drift apart by less than this fraction of the time
/// that has passed.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.05;

/// The services that receive updates from control.
pub enum UpdateSinks {
    /// An entry's services.
    Entry {
        /// Job tracking.
        jobs: RingSender<JobMessage>,
        /// Dispatch.
        dispatch: RingSender<DispatchMessage>,
    },
    /// An agent's service.
    Agent {
        /// The start service.
        starts: RingSender<StartMessage>,
    },
}

/// Configuration of the control link.
pub struct ControlLink {
    /// Source of lease times and of new incarnations.
    pub clock: SharedClock,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// This node's member record.
    pub member: MemberRecord,
    /// Addresses of the control hosts.
    pub controls: Vec<SocketAddr>,
    /// Set once a configuration is in force.
    pub ready: Arc<AtomicBool>,
}

/// Finds the services that receive updates in a role.
///
/// # Panics
/// When a service of that role is not registered.
pub fn find_sinks(registry: &Registry<ServiceName>, role: NodeRole) -> UpdateSinks {
    match role {
        NodeRole::Entry => UpdateSinks::Entry {
            jobs: registry.find(ServiceName::JobTracking).expect("job tracking is registered"),
            dispatch: registry.find(ServiceName::TaskDispatch).expect("dispatch is registered"),
        },
        NodeRole::Agent => UpdateSinks::Agent {
            starts: registry.find(ServiceName::TaskStarts).expect("task starts is registered"),
        },
    }
}

/// Runs the duty until its ring is closed.
pub fn run(
    ring: &RingReceiver<ControlLinkMessage>,
    registry: &Registry<ServiceName>,
    link: ControlLink,
    log: EventLog,
) {
    let sinks = find_sinks(registry, link.member.role);
    let jobs = match &sinks {
        UpdateSinks::Entry { jobs, .. } => Some(jobs.clone()),
        UpdateSinks::Agent { .. } => None,
    };
    let batches = LedgerBatches::new(link.controls.clone(), link.counters.clone(), jobs);
    let (leave, leaving) = tokio::sync::watch::channel(false);
    let watcher = LeaseWatcher {
        view: MergedView::new(link.member.clone()),
        link,
        sinks,
        log,
        next_host: 0,
        leaving,
    };
    block_on(async move {
        let watching = spawn_lasting(watcher.run());
        batches.run(ring).await;
        // The watcher releases the lease before the duty ends.
        leave.send_replace(true);
        let _ended = tokio::time::timeout(LEAVE_TIMEOUT, watching).await;
    });
}

/// Renews the lease by long polls, which also return configurations and member
/// lists.
struct LeaseWatcher {
    link: ControlLink,
    sinks: UpdateSinks,
    log: EventLog,
    view: MergedView,
    /// Position of the next host in `controls`, modulo its length.
    next_host: usize,
    leaving: tokio::sync::watch::Receiver<bool>,
}

impl LeaseWatcher {
    async fn run(mut self) {
        while !*self.leaving.borrow() {
            let address = self.link.controls[self.next_host % self.link.controls.len()];
            let leader = match connect(address).await {
                Some(client) => self.watch_host(&client).await,
                None => None,
            };
            self.choose_next(leader);
            if *self.leaving.borrow() {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Chooses the leader if a host named one, the next host otherwise.
    fn choose_next(&mut self, leader: Option<SocketAddr>) {
        let position = self.link.controls.iter().position(|address| Some(*address) == leader);
        self.next_host = position.unwrap_or(self.next_host + 1);
    }

    /// Renews the lease at one host until a call fails or the host is not the
    /// leader; returns the leader that it names.
    async fn watch_host(&mut self, client: &Arc<WsClient>) -> Option<SocketAddr> {
        loop {
            let sent_at = self.link.clock.now();
            let watch = self.view.watch(false);
            let mut leaving = self.leaving.clone();
            let reply = tokio::select! {
                reply = client.watch(watch) => reply,
                _changed = leaving.changed() => {
                    let _answered = client.watch(self.view.watch(true)).await;
                    return None;
                }
            };
            match reply.ok()? {
                ControlReplyBody::View(view) => self.on_view(sent_at, *view).await,
                ControlReplyBody::NotLeader(hint) => return hint.leader,
                _ => return None,
            }
        }
    }

    async fn on_view(&mut self, sent_at: Instant, view: ControlView) {
        let lease = Duration::from_millis(view.lease_ms).mul_f64(1.0 - MAX_CLOCK_DRIFT_RATIO);
        let updates = self.view.merge(view);
        if updates.is_empty() {
            self.link.counters.count_request_reply(MessageKind::Heartbeat);
        }
        for update in updates {
            self.notify_update(update).await;
        }
        self.notify_lease(LeaseState::ValidUntil(sent_at + lease)).await;
    }

    async fn notify_update(&mut self, update: ViewUpdate) {
        match update {
            ViewUpdate::Fenced => self.start_incarnation().await,
            ViewUpdate::Config(config) => self.notify_config(config).await,
            ViewUpdate::Members { agents, entries, fences } => match &self.sinks {
                UpdateSinks::Entry { dispatch, .. } => {
                    push(dispatch, DispatchMessage::Members { agents, entries }).await;
                }
                UpdateSinks::Agent { starts } => {
                    push(starts, StartMessage::Fences { fences }).await;
                }
            },
        }
    }

    async fn notify_config(&self, config: Arc<ConfigInForce>) {
        match &self.sinks {
            UpdateSinks::Entry { jobs, dispatch } => {
                push(dispatch, DispatchMessage::Config { config: Arc::clone(&config) }).await;
                push(jobs, JobMessage::Config { config }).await;
            }
            UpdateSinks::Agent { starts } => push(starts, StartMessage::Config { config }).await,
        }
        self.link.ready.store(true, Ordering::Release);
    }

    async fn start_incarnation(&mut self) {
        let wall_clock = self.link.clock.wall_clock();
        let incarnation = self.view.start_incarnation(incarnation_at(wall_clock));
        self.log.warn(EventLine::new("incarnation_ended").with("next", incarnation));
        self.notify_lease(LeaseState::Fenced { incarnation }).await;
    }

    async fn notify_lease(&self, state: LeaseState) {
        match &self.sinks {
            UpdateSinks::Entry { jobs, dispatch } => {
                push(dispatch, DispatchMessage::Lease { state }).await;
                push(jobs, JobMessage::Lease { state }).await;
            }
            UpdateSinks::Agent { starts } => push(starts, StartMessage::Lease { state }).await,
        }
    }
}

/// Pushes a message, retrying while the ring is full: updates from control must
/// not be lost.
async fn push<M>(ring: &RingSender<M>, message: M) {
    let mut message = message;
    loop {
        match ring.push(message) {
            Ok(()) | Err(kernel::PushError::Closed { .. }) => return,
            Err(kernel::PushError::Full { message: refused }) => {
                message = refused;
                tokio::time::sleep(FULL_RING_DELAY).await;
            }
        }
    }
}

/// The incarnation of a process that starts at `moment`: milliseconds since the
/// Unix epoch.
pub fn incarnation_at(moment: std::time::SystemTime) -> Incarnation {
    let since_epoch = moment.duration_since(std::time::SystemTime::UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as Incarnation
}

impl MergedView {
    /// The request that renews the lease, or releases it when `leaving`.
    fn watch(&self, leaving: bool) -> NodeWatch {
        NodeWatch {
            member: self.member().clone(),
            config_version: self.config_version(),
            members_version: self.members_version(),
            leaving,
        }
    }
}
