//! The server of a control host for nodes, operators and replicas, which call it over
//! JSON-RPC. It hands the streams of agents over to the duty that serves them.

use jsonrpsee::core::{RpcResult, async_trait};
use kernel::{Registry, Reservation, RingReceiver, RingSender, SharedClock};
use model::{
    CallId, CatalogQuery, Command, ControlQuery, ControlReply, ControlReplyBody, JobCall,
    JobReplySlot, LogMessage, MembershipMessage, NodeWatch, ReplicaEnvelope, SchedulingMessage,
    ServiceName,
};

use crate::edge_runtime::{block_on, spawn_lasting};
use crate::listener_state::ListenerSettings;
use crate::peer_api::{ControlApiServer, not_accepted};
use crate::peer_listener::accept_peers;
use crate::pending_calls::PendingCalls;

/// Maximum number of connected nodes, operators and replicas.
const MAX_CONNECTIONS: u32 = 4_096;

/// Forwards calls to the services of this control host.
struct ControlHandler {
    clock: SharedClock,
    calls: PendingCalls<ControlReplyBody>,
    replies: RingSender<ControlReply>,
    replicated_log: RingSender<LogMessage>,
    membership: RingSender<MembershipMessage>,
    scheduling: RingSender<SchedulingMessage>,
}

impl ControlHandler {
    /// Sends a message with a reserved reply slot and waits for the reply;
    /// `send` returns `false` when the ring is full.
    async fn request(
        &self,
        send: impl FnOnce(CallId, Reservation<ControlReply>) -> bool,
    ) -> RpcResult<ControlReplyBody> {
        let open = self.calls.open();
        let reply = self.replies.reserve().ok_or_else(not_accepted)?;
        if !send(open.call, reply) {
            return Err(not_accepted());
        }
        Ok(open.wait().await.unwrap_or(ControlReplyBody::Unknown))
    }
}

#[async_trait]
impl ControlApiServer for ControlHandler {
    async fn watch(&self, watch: NodeWatch) -> RpcResult<ControlReplyBody> {
        let watch = Box::new(watch);
        let send = |call, reply| {
            self.membership.push(MembershipMessage::Watch { call, watch, reply }).is_ok()
        };
        self.request(send).await
    }

    async fn propose(&self, commands: Vec<Command>) -> RpcResult<ControlReplyBody> {
        let send = |call, reply| {
            self.replicated_log.push(LogMessage::Propose { call, commands, reply }).is_ok()
        };
        self.request(send).await
    }

    async fn query(&self, query: ControlQuery) -> RpcResult<ControlReplyBody> {
        let send = |call, reply| {
            self.replicated_log.push(LogMessage::Query { call, query, reply }).is_ok()
        };
        self.request(send).await
    }

    async fn job(&self, job: JobCall) -> RpcResult<ControlReplyBody> {
        let arrived_at = self.clock.now();
        let send = |call, reply| {
            let reply = JobReplySlot::Peer(reply);
            self.scheduling.push(SchedulingMessage::Job { call, arrived_at, job, reply }).is_ok()
        };
        self.request(send).await
    }

    async fn catalog(&self, query: CatalogQuery) -> RpcResult<ControlReplyBody> {
        let send = |call, reply| {
            self.scheduling.push(SchedulingMessage::CatalogWatch { call, query, reply }).is_ok()
        };
        self.request(send).await
    }

    async fn replica(&self, envelope: ReplicaEnvelope) -> RpcResult<ControlReplyBody> {
        let envelope = Box::new(envelope);
        let send = |call, reply| {
            self.replicated_log.push(LogMessage::Replica { call, envelope, reply }).is_ok()
        };
        self.request(send).await
    }
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When a service that it needs is not registered, or the listener is not
/// usable.
pub fn run(
    ring: &RingReceiver<ControlReply>,
    registry: &Registry<ServiceName>,
    listener: std::net::TcpListener,
    settings: ListenerSettings,
) {
    let clock = settings.clock.clone();
    let calls = PendingCalls::default();
    let streams = registry.find(ServiceName::ScheduleEdge).expect("its streams are registered");
    let handler = ControlHandler {
        clock,
        calls: calls.clone(),
        replies: registry.find(ServiceName::ControlEdge).expect("the control edge is registered"),
        replicated_log: registry.find(ServiceName::ReplicatedLog).expect("the log is registered"),
        membership: registry.find(ServiceName::Membership).expect("membership is registered"),
        scheduling: registry.find(ServiceName::JobScheduling).expect("scheduling is registered"),
    };
    block_on(async move {
        let methods = handler.into_rpc().into();
        spawn_lasting(accept_peers(listener, settings, methods, MAX_CONNECTIONS, Some(streams)));
        while let Some(reply) = ring.next().await {
            calls.complete(reply.call, reply.body);
        }
    });
}
