//! The HTTP routes by which backend servers announce themselves to the agent on
//! their host.

use kernel::RingSender;
use model::{Announcement, ErrorKind, Failure, LeaveNotice, Problem, StartMessage, is_name};
use serde::de::DeserializeOwned;
use warp::http::request::Parts;
use warp::http::{Method, StatusCode};
use warp::hyper::body::Bytes;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::backend_edge::BackendEdge;
use crate::http_listener::BodyRefusal;
use crate::metrics;

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;
/// Maximum number of slots, and of connections, of one backend server.
const MAX_SLOTS: u32 = 100_000;

/// All routes of an agent's announcement server.
pub(crate) fn announce_routes(
    starts: RingSender<StartMessage>,
    edge: BackendEdge,
) -> warp::filters::BoxedFilter<(Response,)> {
    let announce_starts = starts.clone();
    let announce = warp::path!("v1" / "announce")
        .and(warp::post())
        .and(warp::body::bytes())
        .map(move |body: Bytes| forward(&announce_starts, read_announcement(&body)));
    let leave = warp::path!("v1" / "leave")
        .and(warp::post())
        .and(warp::body::bytes())
        .map(move |body: Bytes| forward(&starts, read_leave(&body)));
    let health = warp::path!("healthz").and(warp::get()).map(|| "ok\n".into_response());
    let stop = edge.stop.clone();
    let ready = warp::path!("readyz").and(warp::get()).map(move || match stop.is_raised() {
        true => problem_response(&Failure::new(ErrorKind::ShuttingDown, "draining")),
        false => "ready\n".into_response(),
    });
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .map(move || metrics::render(&edge.counters).into_response());
    announce.or(leave).unify().or(health).unify().or(ready).unify().or(metrics).unify().boxed()
}

/// Maximum length of the body of a request; `None` where no route reads it.
pub(crate) fn body_limit(parts: &Parts) -> Option<u64> {
    let reads_body = matches!(parts.uri.path(), "/v1/announce" | "/v1/leave");
    (parts.method == Method::POST && reads_body).then_some(MAX_ANNOUNCEMENT_BYTES as u64)
}

/// The response to a request whose body was not read.
pub(crate) fn refuse_body(refusal: BodyRefusal) -> Response {
    problem_response(&match refusal {
        BodyRefusal::TooLong => too_long(),
        BodyRefusal::NoRoom => {
            Failure::new(ErrorKind::Overloaded, "the agent is overloaded; retry")
        }
        BodyRefusal::Incomplete => malformed("the body is incomplete"),
    })
}

fn too_long() -> Failure {
    Failure::new(ErrorKind::BodyTooLarge, "an announcement must not exceed 16 KiB")
}

fn forward(starts: &RingSender<StartMessage>, read: Result<StartMessage, Failure>) -> Response {
    let sent = read.and_then(|message| {
        starts
            .push(message)
            .map_err(|_| Failure::new(ErrorKind::Overloaded, "the agent is overloaded; retry"))
    });
    match sent {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(failure) => problem_response(&failure),
    }
}

fn read_announcement(body: &Bytes) -> Result<StartMessage, Failure> {
    let announcement: Announcement = read(body)?;
    if !is_name(&announcement.service) {
        return Err(malformed("service must have 1 to 64 letters, digits, '-', '_' or '.'"));
    }
    for (field, value) in [("slots", announcement.slots), ("connections", announcement.connections)]
    {
        if !(1..=MAX_SLOTS).contains(&value) {
            let detail = format!("{field} is {value}; the minimum is 1, the maximum {MAX_SLOTS}");
            return Err(malformed(&detail));
        }
    }
    if announcement.address.port() == 0 {
        return Err(malformed("address must have a port from 1 to 65535"));
    }
    Ok(StartMessage::Announced { announcement })
}

fn read_leave(body: &Bytes) -> Result<StartMessage, Failure> {
    let notice: LeaveNotice = read(body)?;
    Ok(StartMessage::Leaving { address: notice.address })
}

fn read<T: DeserializeOwned>(body: &Bytes) -> Result<T, Failure> {
    if body.len() > MAX_ANNOUNCEMENT_BYTES {
        return Err(too_long());
    }
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

fn malformed(detail: &str) -> Failure {
    Failure::new(ErrorKind::MalformedRequest, detail)
}

fn problem_response(failure: &Failure) -> Response {
    let problem = Problem::from(failure);
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    warp::reply::with_status(warp::reply::json(&problem), status).into_response()
}
