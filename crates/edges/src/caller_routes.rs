//! The callers' HTTP routes: reading requests and writing answers.
//!
//! Invariant: a request that can't be read is refused here, and nothing of it
//! reaches a service.

use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use model::{
    CallerAnswer, CallerWish, ErrorKind, Failure, JobKey, JobOrder, MessageKind, Payload, Problem,
    RequestIntake, is_name,
};
use serde::{Deserialize, Serialize};
use warp::http::{HeaderMap, StatusCode};
use warp::hyper::body::Bytes;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::caller_edge::CallerDesk;
use crate::metrics;

const TEAM: &str = "cactuswing-team";
const KEY: &str = "idempotency-key";
const DEADLINE: &str = "cactuswing-deadline-ms";

#[derive(Debug, Default, Deserialize)]
struct JobQuery {
    #[serde(default)]
    wait: Option<bool>,
}

#[derive(Serialize)]
struct JobBody {
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    answers: Option<Vec<Payload>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ended: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    tasks: Option<usize>,
}

/// Gives a route what all routes share.
type DeskFilter = warp::filters::BoxedFilter<(CallerDesk,)>;

/// All routes of an entry.
pub(crate) fn routes(
    desk: CallerDesk,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = std::convert::Infallible> + Clone {
    let with_desk: DeskFilter = warp::any().map(move || desk.clone()).boxed();
    request_route(with_desk.clone())
        .or(job_route(with_desk.clone()))
        .unify()
        .or(key_routes(with_desk.clone()))
        .unify()
        .or(page_routes(with_desk))
        .unify()
        .recover(refuse_unmatched)
}

fn request_route(desk: DeskFilter) -> warp::filters::BoxedFilter<(Response,)> {
    warp::path!("v1" / "services" / String / "requests")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(body())
        .and(desk)
        .then(
            |service: String,
             headers: HeaderMap,
             body: Result<Bytes, Failure>,
             desk: CallerDesk| { serve_request(service, headers, body, desk) },
        )
        .boxed()
}

fn job_route(desk: DeskFilter) -> warp::filters::BoxedFilter<(Response,)> {
    warp::path!("v1" / "jobs")
        .and(warp::post())
        .and(warp::query::<JobQuery>())
        .and(body())
        .and(desk)
        .then(serve_job)
        .boxed()
}

fn key_routes(desk: DeskFilter) -> warp::filters::BoxedFilter<(Response,)> {
    let explain = warp::path!("v1" / "jobs" / String / String / "explain")
        .and(warp::get())
        .and(desk.clone())
        .then(|team: String, submission: String, desk: CallerDesk| async move {
            answer(desk.ask(CallerWish::Explain { key: job_key(team, submission) }).await)
        });
    let lookup = warp::path!("v1" / "jobs" / String / String)
        .and(warp::get())
        .and(desk.clone())
        .then(|team: String, submission: String, desk: CallerDesk| async move {
            answer(desk.ask(CallerWish::Lookup { key: job_key(team, submission) }).await)
        });
    let cancel = warp::path!("v1" / "jobs" / String / String).and(warp::delete()).and(desk).then(
        |team: String, submission: String, desk: CallerDesk| async move {
            answer(desk.ask(CallerWish::Cancel { key: job_key(team, submission) }).await)
        },
    );
    explain.or(lookup).unify().or(cancel).unify().boxed()
}

fn page_routes(desk: DeskFilter) -> warp::filters::BoxedFilter<(Response,)> {
    let health = warp::path!("healthz").and(warp::get()).map(|| "ok\n".into_response());
    let ready = warp::path!("readyz").and(warp::get()).and(desk.clone()).map(readiness);
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(desk)
        .map(|desk: CallerDesk| metrics::render(&desk.edge.counters).into_response());
    health.or(ready).unify().or(metrics).unify().boxed()
}

/// The whole body; a body that breaks off is a failed read.
fn body()
-> impl Filter<Extract = (Result<Bytes, Failure>,), Error = std::convert::Infallible> + Clone {
    warp::body::bytes()
        .map(Ok)
        .or(warp::any().map(|| Err(unreadable("the body broke off"))))
        .unify()
}

fn readiness(desk: CallerDesk) -> Response {
    let draining = desk.edge.stop.is_raised();
    let ready = desk.edge.ready.load(Ordering::Acquire);
    match (draining, ready) {
        (true, _) => failed(&Failure::new(ErrorKind::ShuttingDown, "draining")),
        (false, false) => failed(&Failure::new(ErrorKind::NotReady, "no configuration yet")),
        (false, true) => "ready\n".into_response(),
    }
}

async fn serve_request(
    service: String,
    headers: HeaderMap,
    body: Result<Bytes, Failure>,
    desk: CallerDesk,
) -> Response {
    match read_request(service, &headers, body, desk.edge.body_limit) {
        Ok(intake) => answer(desk.ask(CallerWish::Request(intake)).await),
        Err(failure) => refuse(&desk, &failure),
    }
}

async fn serve_job(query: JobQuery, body: Result<Bytes, Failure>, desk: CallerDesk) -> Response {
    match body.and_then(|body| read_job(&body, desk.edge.body_limit)) {
        Ok(order) => {
            let wait = query.wait.unwrap_or(true);
            answer(desk.ask(CallerWish::Job { order, wait }).await)
        }
        Err(failure) => refuse(&desk, &failure),
    }
}

fn refuse(desk: &CallerDesk, failure: &Failure) -> Response {
    desk.edge.counters.fail(failure.kind);
    desk.edge.counters.count(MessageKind::Refusal);
    failed(failure)
}

fn read_request(
    service: String,
    headers: &HeaderMap,
    body: Result<Bytes, Failure>,
    body_limit: u64,
) -> Result<RequestIntake, Failure> {
    let team = header(headers, TEAM)?
        .ok_or_else(|| unreadable("the Cactuswing-Team header is missing"))?;
    let submission = header(headers, KEY)?;
    let deadline = header(headers, DEADLINE)?.map(|text| read_deadline(&text)).transpose()?;
    let payload = read_payload(&body?, body_limit)?;
    let service = CompactString::from(service);
    Ok(RequestIntake { service, team, submission, deadline, payload })
}

fn header(headers: &HeaderMap, name: &str) -> Result<Option<CompactString>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text =
        value.to_str().map_err(|_| unreadable(&format!("header {name} is not plain text")))?;
    if !is_name(text) {
        return Err(unreadable(&format!(
            "header {name} must have 1 to 64 letters, digits, '-', '_' or '.'"
        )));
    }
    Ok(Some(CompactString::from(text)))
}

fn read_deadline(text: &str) -> Result<Duration, Failure> {
    let millis: u64 = text
        .parse()
        .map_err(|_| unreadable("Cactuswing-Deadline-Ms must be a whole number of milliseconds"))?;
    if millis == 0 {
        return Err(unreadable("Cactuswing-Deadline-Ms must be above zero"));
    }
    Ok(Duration::from_millis(millis))
}

fn check_length(body: &Bytes, body_limit: u64) -> Result<(), Failure> {
    if body.len() as u64 > body_limit {
        let detail = format!("the body has {} bytes, at most {body_limit} are taken", body.len());
        return Err(Failure::new(ErrorKind::BodyTooLarge, detail));
    }
    Ok(())
}

fn read_payload(body: &Bytes, body_limit: u64) -> Result<Payload, Failure> {
    check_length(body, body_limit)?;
    let text = std::str::from_utf8(body).map_err(|_| unreadable("the body is not UTF-8"))?;
    if text.trim().is_empty() {
        return Err(unreadable("the body is missing"));
    }
    Payload::parse(text).map_err(|error| unreadable(&format!("the body is not JSON: {error}")))
}

fn read_job(body: &Bytes, body_limit: u64) -> Result<JobOrder, Failure> {
    check_length(body, body_limit)?;
    serde_json::from_slice(body)
        .map_err(|error| unreadable(&format!("the job can't be read: {error}")))
}

fn unreadable(detail: &str) -> Failure {
    Failure::new(ErrorKind::MalformedRequest, detail)
}

fn job_key(team: String, submission: String) -> JobKey {
    JobKey { team: team.into(), submission: submission.into() }
}

/// Writes a caller's answer.
fn answer(answer: CallerAnswer) -> Response {
    match answer {
        CallerAnswer::Request { answer } => json_text(StatusCode::OK, answer.text().to_owned()),
        CallerAnswer::Job { answers } => job_body(
            StatusCode::OK,
            JobBody { state: "complete", answers: Some(answers), ended: None, tasks: None },
        ),
        CallerAnswer::Accepted => job_body(
            StatusCode::ACCEPTED,
            JobBody { state: "recorded", answers: None, ended: None, tasks: None },
        ),
        CallerAnswer::InProgress { ended, tasks } => job_body(
            StatusCode::OK,
            JobBody { state: "in_progress", answers: None, ended: Some(ended), tasks: Some(tasks) },
        ),
        CallerAnswer::Explained { lines } => warp::reply::json(&lines).into_response(),
        CallerAnswer::Failed { failure } => failed(&failure),
    }
}

fn job_body(status: StatusCode, body: JobBody) -> Response {
    warp::reply::with_status(warp::reply::json(&body), status).into_response()
}

fn json_text(status: StatusCode, text: String) -> Response {
    let reply = warp::reply::with_header(text, "content-type", "application/json");
    warp::reply::with_status(reply, status).into_response()
}

/// Writes a failed answer as problem+json.
fn failed(failure: &Failure) -> Response {
    let problem = Problem::from(failure);
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = serde_json::to_string(&problem).unwrap_or_default();
    let reply = warp::reply::with_header(text, "content-type", "application/problem+json");
    let mut response = warp::reply::with_status(reply, status).into_response();
    if let Some(after_ms) = problem.retry_after_ms {
        let seconds = after_ms.div_ceil(1_000);
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}

/// Answers what no route takes.
async fn refuse_unmatched(rejection: Rejection) -> Result<Response, std::convert::Infallible> {
    let not_found = rejection.is_not_found();
    let detail = if not_found { "no such path" } else { "the request can't be read" };
    let mut response = failed(&unreadable(detail));
    if not_found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
