//! A caller of the system: an HTTP client that keeps connections open.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use model::Problem;
use snafu::{ResultExt, Snafu, Whatever};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReply {
    /// HTTP status code.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl CallReply {
    /// The problem that the body describes, if it does.
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_str(&self.body).ok()
    }
}

/// A request without a complete response.
#[derive(Debug, Snafu)]
#[snafu(display("no complete response: {source}"))]
pub struct CallFailure {
    source: Whatever,
}

/// An HTTP client; clones share its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Caller {
        Caller::new()
    }
}

impl Caller {
    /// Creates a client; it connects on the first request.
    pub fn new() -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Caller { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a POST request.
    ///
    /// # Errors
    /// When no complete response is received.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<CallReply, CallFailure> {
        self.send(Method::POST, address, path, headers, body).await
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// When no complete response is received.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<CallReply, CallFailure> {
        self.send(Method::GET, address, path, &[], String::new()).await
    }

    /// Sends a DELETE request.
    ///
    /// # Errors
    /// When no complete response is received.
    pub async fn delete(&self, address: SocketAddr, path: &str) -> Result<CallReply, CallFailure> {
        self.send(Method::DELETE, address, path, &[], String::new()).await
    }

    /// Sends a request with the given method.
    ///
    /// # Errors
    /// When the method is invalid, or no complete response is received.
    pub async fn call(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<CallReply, CallFailure> {
        let method = method.parse().whatever_context("invalid HTTP method");
        let method = method.map_err(|source| CallFailure { source })?;
        self.send(method, address, path, headers, body).await
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<CallReply, CallFailure> {
        self.try_send(method, address, path, headers, body)
            .await
            .map_err(|source| CallFailure { source })
    }

    async fn try_send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<CallReply, Whatever> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body)));
        let request = request.whatever_context("can't build the request")?;
        let response = self.client.request(request).await;
        let response = response.whatever_context("can't connect, or the connection broke")?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.whatever_context("the connection broke within the body")?.to_bytes();
        let body = String::from_utf8(body.to_vec()).whatever_context("the body is not UTF-8")?;
        Ok(CallReply { status, body })
    }
}
