//! The duty that connects an entry or agent to control: renews the lease,
//! brings configurations and members, carries ledger commands and figures.
//!
//! Invariants:
//! - a configuration or member list is never replaced by an older one;
//! - the lease counts from when its renewal was sent, less the drift bound;
//! - a node that is fenced goes on only under a new incarnation.

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

use crate::edge_runtime::block_on;
use crate::ledger_batches::LedgerBatches;
use crate::peer_api::ControlApiClient;
use crate::peer_connection::connect;
use crate::view_merge::{MergedView, ViewNews};

/// How long giving the lease up may take at the end.
const LEAVE_LIMIT: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const FULL_RING_PAUSE: Duration = Duration::from_millis(5);
/// Clocks of two hosts drift apart by less than this share.
const DRIFT_SHARE: f64 = 0.05;

/// Who is told what control says.
pub enum ControlSinks {
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

/// What the control link is given.
pub struct ControlLink {
    /// The clock.
    pub clock: SharedClock,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// The node as a member.
    pub member: MemberRecord,
    /// Addresses of the control hosts.
    pub controls: Vec<SocketAddr>,
    /// Raised once a configuration is in force.
    pub ready: Arc<AtomicBool>,
}

/// Finds the sinks of a role.
///
/// # Panics
/// When a service of that role is not registered.
pub fn sinks(registry: &Registry<ServiceName>, role: NodeRole) -> ControlSinks {
    match role {
        NodeRole::Entry => ControlSinks::Entry {
            jobs: registry.find(ServiceName::JobTracking).expect("job tracking is registered"),
            dispatch: registry.find(ServiceName::TaskDispatch).expect("dispatch is registered"),
        },
        NodeRole::Agent => ControlSinks::Agent {
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
    let sinks = sinks(registry, link.member.role);
    let jobs = match &sinks {
        ControlSinks::Entry { jobs, .. } => Some(jobs.clone()),
        ControlSinks::Agent { .. } => None,
    };
    let batches = LedgerBatches::new(link.controls.clone(), link.counters.clone(), jobs);
    let (leave, leaving) = tokio::sync::watch::channel(false);
    let watcher = LeaseWatcher {
        merged: MergedView::new(link.member.clone()),
        link,
        sinks,
        log,
        next: 0,
        leaving,
    };
    block_on(async move {
        let watching = tokio::task::spawn_local(watcher.run());
        batches.run(ring).await;
        // The watcher gives the lease up before the duty ends.
        leave.send_replace(true);
        let _ended = tokio::time::timeout(LEAVE_LIMIT, watching).await;
    });
}

struct LeaseWatcher {
    link: ControlLink,
    sinks: ControlSinks,
    log: EventLog,
    merged: MergedView,
    next: usize,
    leaving: tokio::sync::watch::Receiver<bool>,
}

impl LeaseWatcher {
    async fn run(mut self) {
        while !*self.leaving.borrow() {
            let address = self.link.controls[self.next % self.link.controls.len()];
            let moved = match connect(address).await {
                Some(client) => self.watch_host(&client).await,
                None => None,
            };
            self.choose_next(moved);
            if *self.leaving.borrow() {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Goes to the leader when one was named, to the next host otherwise.
    fn choose_next(&mut self, leader: Option<SocketAddr>) {
        let position = self.link.controls.iter().position(|address| Some(*address) == leader);
        self.next = position.unwrap_or(self.next + 1);
    }

    /// Renews the lease at one host until it stops answering or names another.
    async fn watch_host(&mut self, client: &Arc<WsClient>) -> Option<SocketAddr> {
        loop {
            let sent_at = self.link.clock.now();
            let watch = self.merged.watch(false);
            let mut leaving = self.leaving.clone();
            let answer = tokio::select! {
                answer = client.watch(watch) => answer,
                _changed = leaving.changed() => {
                    let _answered = client.watch(self.merged.watch(true)).await;
                    return None;
                }
            };
            match answer.ok()? {
                ControlReplyBody::View(view) => self.on_view(sent_at, *view).await,
                ControlReplyBody::NotLeader { leader } => return leader,
                _ => return None,
            }
        }
    }

    async fn on_view(&mut self, sent_at: Instant, view: ControlView) {
        let lease = Duration::from_millis(view.lease_ms).mul_f64(1.0 - DRIFT_SHARE);
        let news = self.merged.merge(view);
        if news.is_empty() {
            self.link.counters.count_exchange(MessageKind::Heartbeat);
        }
        for item in news {
            self.tell_news(item).await;
        }
        self.tell_lease(LeaseState::HeldUntil(sent_at + lease)).await;
    }

    async fn tell_news(&mut self, news: ViewNews) {
        match news {
            ViewNews::Fenced => self.take_new_incarnation().await,
            ViewNews::Config(config) => self.tell_config(config).await,
            ViewNews::Members { agents, entries, fences } => match &self.sinks {
                ControlSinks::Entry { dispatch, .. } => {
                    push(dispatch, DispatchMessage::Members { agents, entries }).await;
                }
                ControlSinks::Agent { starts } => {
                    push(starts, StartMessage::Fences { fences }).await;
                }
            },
        }
    }

    async fn tell_config(&self, config: Arc<ConfigInForce>) {
        match &self.sinks {
            ControlSinks::Entry { jobs, dispatch } => {
                push(dispatch, DispatchMessage::Config { config: Arc::clone(&config) }).await;
                push(jobs, JobMessage::Config { config }).await;
            }
            ControlSinks::Agent { starts } => push(starts, StartMessage::Config { config }).await,
        }
        self.link.ready.store(true, Ordering::Release);
    }

    async fn take_new_incarnation(&mut self) {
        let calendar = self.link.clock.calendar();
        let incarnation = self.merged.take_new_incarnation(incarnation_at(calendar));
        self.log.warn(EventLine::new("incarnation_ended").with("next", incarnation));
        self.tell_lease(LeaseState::Fenced { incarnation }).await;
    }

    async fn tell_lease(&self, state: LeaseState) {
        match &self.sinks {
            ControlSinks::Entry { jobs, dispatch } => {
                push(dispatch, DispatchMessage::Lease { state }).await;
                push(jobs, JobMessage::Lease { state }).await;
            }
            ControlSinks::Agent { starts } => push(starts, StartMessage::Lease { state }).await,
        }
    }
}

/// Hands a message on, waiting while the ring is full: what control says must
/// not be lost.
async fn push<M>(ring: &RingSender<M>, message: M) {
    let mut message = message;
    loop {
        match ring.push(message) {
            Ok(()) | Err(kernel::PushError::Closed { .. }) => return,
            Err(kernel::PushError::Full { message: refused }) => {
                message = refused;
                tokio::time::sleep(FULL_RING_PAUSE).await;
            }
        }
    }
}

/// The incarnation of a process that starts at a moment.
pub fn incarnation_at(moment: std::time::SystemTime) -> Incarnation {
    let since = moment.duration_since(std::time::SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as Incarnation
}

/// The watch that gives a lease up is built like any other.
impl MergedView {
    fn watch(&self, leaving: bool) -> NodeWatch {
        NodeWatch {
            member: self.member().clone(),
            config_version: self.config_version(),
            members_version: self.members_version(),
            leaving,
        }
    }
}
