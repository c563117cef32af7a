//! A client of queues and an operator's configuration, as `PROTOCOL.md` describes them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::json::string_field;
use crate::record::Record;
use crate::system::SERVICE;

pub const HOST: &str = "nony24.example";
/// Time after which a best-effort job without an answer is sent again.
pub const RESEND: Duration = Duration::from_millis(1_300);

/// A route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub timeout_ms: u64,
    pub goal_ms: u64,
}

/// A complete configuration with these routes, all to the one service.
pub fn config(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|Route { name, prefix, timeout_ms, goal_ms }| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                 \"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"goal_ms\":{goal_ms},\
                 \"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":4,\"stretch\":1.6}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforce_capacity\":true,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// What a client hands in: a job with one step.
pub struct Job {
    pub id: String,
    pub best_effort: bool,
    pub tasks: u64,
    pub cpu_milli: u64,
    pub run_ms: u64,
    pub required_label: Option<&'static str>,
}

impl Job {
    fn body(&self) -> String {
        let label = self
            .required_label
            .map_or(String::new(), |label| format!(",\"required_label\":\"{label}\""));
        let best_effort = if self.best_effort { ",\"best_effort\":true" } else { "" };
        format!(
            "{{\"spec\":\"ms={} cpu={}\",\"steps\":[{{\"count\":{},\"cpu\":{},\"mem_mb\":64,\
             \"estimate_ms\":{}{label}}}]{best_effort}}}",
            self.run_ms, self.cpu_milli, self.tasks, self.cpu_milli, self.run_ms
        )
    }
}

/// A client that reaches an entry, and waits this long for a response.
#[derive(Clone)]
pub struct Client {
    pub record: Record,
    pub deadline: Duration,
}

impl Client {
    /// Sends one request; returns the status and the body, `None` after no response or a
    /// broken connection.
    pub fn send(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let deadline_ms = self.deadline.as_millis().to_string();
        let headers = [("Host", HOST), ("Cactuswing-Deadline-Ms", deadline_ms.as_str())];
        self.record.write(&format!("client sends {method} {path} to {entry}"));
        let sent = http::call(entry, method, path, &headers, body.as_bytes(), self.deadline);
        let outcome = match &sent {
            Ok(response) => {
                format!("{} {}", response.status, String::from_utf8_lossy(&response.body))
            }
            Err(error) => format!("no response: {error}"),
        };
        self.record.write(&format!("client gets for {method} {path}: {outcome}"));
        let response = sent.ok()?;
        Some((response.status, String::from_utf8_lossy(&response.body).into_owned()))
    }

    /// Hands a job in, at the entries in turn, until it is accepted (or, for a best-effort
    /// job, has ended) or rejected. It is sent again only after no response, a broken
    /// connection, 502 or 504.
    pub fn submit(&self, entries: &[SocketAddr], prefix: &str, job: &Job) -> Option<u16> {
        let path = format!("{prefix}{}", job.id);
        for entry in entries {
            match self.send(*entry, "POST", &path, &job.body()) {
                None | Some((502 | 504, _)) => std::thread::sleep(RESEND),
                Some((status, _)) => return Some(status),
            }
        }
        None
    }

    /// The state of a stored job, as an entry shows it.
    pub fn state(&self, entry: SocketAddr, prefix: &str, id: &str) -> Option<(u16, String)> {
        let (status, body) = self.send(entry, "GET", &format!("{prefix}{id}"), "")?;
        Some((status, string_field(&body, "state").unwrap_or_default()))
    }
}
