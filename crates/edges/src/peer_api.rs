//! Owns the RPC interfaces between processes: JSON-RPC over WebSocket.
//!
//! Invariant: the error `NOT_ACCEPTED` is returned only for a message that had
//! no effect.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{BatchRequestConfig, ServerConfig};
use jsonrpsee::types::ErrorObjectOwned;
use model::{
    AgentView, AgentWatch, CatalogQuery, Command, ControlQuery, ControlReplyBody, JobCall,
    NodeWatch, RecallAnswer, RecallOrder, ReplicaEnvelope, StartOrder, TaskQuery, TaskReport,
};

/// Largest message between processes, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 32 * 1024 * 1024;
/// JSON-RPC error code: the message was not accepted and had no effect.
pub(crate) const NOT_ACCEPTED: i32 = -32_050;

/// Calls from entries to an agent.
#[rpc(client, server, namespace = "agent")]
pub trait AgentApi {
    /// Starts a task; replies when it has ended, or when it has not started and
    /// never will.
    #[method(name = "start")]
    async fn start(&self, order: StartOrder) -> RpcResult<TaskReport>;

    /// Waits for a task's end. A task that has not started is barred from
    /// starting later.
    #[method(name = "attach")]
    async fn attach(&self, question: TaskQuery) -> RpcResult<TaskReport>;

    /// Recalls tasks that have not started.
    #[method(name = "recall")]
    async fn recall(&self, order: RecallOrder) -> RpcResult<RecallAnswer>;

    /// Long poll: replies when the agent's view changes, or after the requested
    /// wait.
    #[method(name = "watch")]
    async fn watch(&self, watch: AgentWatch) -> RpcResult<AgentView>;
}

/// Calls from nodes, operators and other replicas to a control host.
#[rpc(client, server, namespace = "control")]
pub trait ControlApi {
    /// Renews a node's lease; replies when the view changes, or in time for the
    /// next renewal.
    #[method(name = "watch")]
    async fn watch(&self, watch: NodeWatch) -> RpcResult<ControlReplyBody>;

    /// Proposes commands to the replicated log.
    #[method(name = "propose")]
    async fn propose(&self, commands: Vec<Command>) -> RpcResult<ControlReplyBody>;

    /// Answers an operator's query.
    #[method(name = "query")]
    async fn query(&self, query: ControlQuery) -> RpcResult<ControlReplyBody>;

    /// Handles a call about a queued job.
    #[method(name = "job")]
    async fn job(&self, job: JobCall) -> RpcResult<ControlReplyBody>;

    /// Long poll: replies when a catalog is newer than the entry's, or after a
    /// bounded wait.
    #[method(name = "catalog")]
    async fn catalog(&self, question: CatalogQuery) -> RpcResult<ControlReplyBody>;

    /// Handles a message of another replica; replies once the state that the
    /// reply depends on is synced.
    #[method(name = "replica")]
    async fn replica(&self, envelope: ReplicaEnvelope) -> RpcResult<ControlReplyBody>;
}

/// The error reply of a process whose rings are full.
pub(crate) fn not_accepted() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(NOT_ACCEPTED, "ring full; the message was not accepted", None::<()>)
}

/// Configuration of an RPC server.
pub(crate) fn server_config(max_connections: u32) -> ServerConfig {
    ServerConfig::builder()
        .max_connections(max_connections)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .ws_only()
        .build()
}
