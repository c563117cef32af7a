//! Owns the protocol between the processes: JSON-RPC over WebSocket.

use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use model::{
    AgentPoll, AgentReport, AgentView, AgentWatch, CatalogQuestion, Command, ControlQuery,
    ControlReplyBody, JobCall, NodeWatch, RecallAnswer, RecallOrder, ReplicaEnvelope, StartOrder,
    TaskQuestion, TaskReport,
};

/// Largest message between processes, in bytes.
pub(crate) const MOST_MESSAGE_BYTES: u32 = 32 * 1024 * 1024;
/// Code of an answer that says: the message was not taken, nothing was done.
pub(crate) const NOT_TAKEN: i32 = -32_050;

/// What agents offer to entries.
#[rpc(client, server, namespace = "agent")]
pub trait AgentApi {
    /// Starts a task; answers when it ended or surely did not start.
    #[method(name = "start")]
    async fn start(&self, order: StartOrder) -> RpcResult<TaskReport>;

    /// Asks for a task's end. When it did not start, it never will.
    #[method(name = "attach")]
    async fn attach(&self, question: TaskQuestion) -> RpcResult<TaskReport>;

    /// Takes back tasks that have not started.
    #[method(name = "recall")]
    async fn recall(&self, order: RecallOrder) -> RpcResult<RecallAnswer>;

    /// Answers when there is news, or after the asked time.
    #[method(name = "watch")]
    async fn watch(&self, watch: AgentWatch) -> RpcResult<AgentView>;
}

/// What control hosts offer to nodes, operators and each other.
#[rpc(client, server, namespace = "control")]
pub trait ControlApi {
    /// Renews a lease and answers when there is news, or in time for the next
    /// renewal.
    #[method(name = "watch")]
    async fn watch(&self, watch: NodeWatch) -> RpcResult<ControlReplyBody>;

    /// Puts commands into the replicated log.
    #[method(name = "propose")]
    async fn propose(&self, commands: Vec<Command>) -> RpcResult<ControlReplyBody>;

    /// Answers an operator's question.
    #[method(name = "query")]
    async fn query(&self, query: ControlQuery) -> RpcResult<ControlReplyBody>;

    /// Carries a call about a queued job.
    #[method(name = "job")]
    async fn job(&self, job: JobCall) -> RpcResult<ControlReplyBody>;

    /// Answers when a catalog is newer than the entry's, or after a while.
    #[method(name = "catalog")]
    async fn catalog(&self, question: CatalogQuestion) -> RpcResult<ControlReplyBody>;

    /// Takes a message of another replica; answers when what it promises is
    /// synced.
    #[method(name = "replica")]
    async fn replica(&self, envelope: ReplicaEnvelope) -> RpcResult<ControlReplyBody>;
}

/// What schedulers, control hosts and entries alike, offer to agents.
#[rpc(client, server, namespace = "schedule")]
pub trait ScheduleApi {
    /// Takes an agent's news.
    #[method(name = "report")]
    async fn report(&self, report: AgentReport) -> RpcResult<ControlReplyBody>;

    /// Answers when there are orders for an agent, or after a while.
    #[method(name = "poll")]
    async fn poll(&self, poll: AgentPoll) -> RpcResult<ControlReplyBody>;
}

/// The answer of a process that has no room for a message.
pub(crate) fn not_taken() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(NOT_TAKEN, "no room; the message was not taken", None::<()>)
}

/// Serves a module on a listener.
///
/// # Panics
/// When the listener is not usable.
pub(crate) fn start_server<C: Send + Sync + 'static>(
    listener: std::net::TcpListener,
    most_connections: u32,
    module: RpcModule<C>,
) -> ServerHandle {
    let config = ServerConfig::builder()
        .max_connections(most_connections)
        .max_request_body_size(MOST_MESSAGE_BYTES)
        .max_response_body_size(MOST_MESSAGE_BYTES)
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener);
    server.expect("the listener is non-blocking").start(module)
}
