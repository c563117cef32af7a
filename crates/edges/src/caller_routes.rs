//! The HTTP routes for callers: parses requests and encodes responses.
//!
//! Invariant: a malformed request is rejected here and never reaches a
//! service.

use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use model::{
    CallerAnswer, CallerRequest, ErrorKind, Failure, JobKey, JobSubmission, MessageKind, Payload,
    Problem, SingleRequest, is_name,
};
use serde::{Deserialize, Serialize};
use warp::http::request::Parts;
use warp::http::{HeaderMap, Method, StatusCode};
use warp::hyper::body::Bytes;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::caller_edge::CallerContext;
use crate::http_listener::BodyRefusal;
use crate::metrics;

const TEAM_HEADER: &str = "cactuswing-team";
const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "cactuswing-deadline-ms";

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

/// Extracts the context that all routes share.
type ContextFilter = warp::filters::BoxedFilter<(CallerContext,)>;

/// All routes of an entry; requests that match none get a problem response.
pub(crate) fn routes(context: CallerContext) -> warp::filters::BoxedFilter<(Response,)> {
    let with_context: ContextFilter = warp::any().map(move || context.clone()).boxed();
    request_route(with_context.clone())
        .or(job_route(with_context.clone()))
        .unify()
        .or(key_routes(with_context.clone()))
        .unify()
        .or(status_routes(with_context))
        .unify()
        .recover(reject_unmatched)
        .unify()
        .map(Reply::into_response)
        .boxed()
}

/// Maximum length of the body of a request; `None` where no route reads it.
pub(crate) fn body_limit(parts: &Parts, limit: u64) -> Option<u64> {
    let path = parts.uri.path();
    let reads_body = path == "/v1/jobs"
        || path.strip_prefix("/v1/services/").is_some_and(|rest| rest.ends_with("/requests"));
    (parts.method == Method::POST && reads_body).then_some(limit)
}

/// The response to a request whose body was not read.
pub(crate) fn refuse_body(context: &CallerContext, refusal: BodyRefusal) -> Response {
    let failure = match refusal {
        BodyRefusal::TooLong => {
            let detail = format!("the body exceeds the limit of {} bytes", context.edge.body_limit);
            Failure::new(ErrorKind::BodyTooLarge, detail)
        }
        BodyRefusal::NoRoom => Failure::new(
            ErrorKind::Overloaded,
            "this entry holds as many request bodies as its memory allows; retry",
        ),
        BodyRefusal::Incomplete => malformed("the body is incomplete"),
    };
    reject(context, &failure)
}

fn request_route(context: ContextFilter) -> warp::filters::BoxedFilter<(Response,)> {
    warp::path!("v1" / "services" / String / "requests")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(body())
        .and(context)
        .then(
            |service: String,
             headers: HeaderMap,
             body: Result<Bytes, Failure>,
             context: CallerContext| { serve_request(service, headers, body, context) },
        )
        .boxed()
}

fn job_route(context: ContextFilter) -> warp::filters::BoxedFilter<(Response,)> {
    warp::path!("v1" / "jobs")
        .and(warp::post())
        .and(warp::query::<JobQuery>())
        .and(body())
        .and(context)
        .then(serve_job)
        .boxed()
}

fn key_routes(context: ContextFilter) -> warp::filters::BoxedFilter<(Response,)> {
    let explain = warp::path!("v1" / "jobs" / String / String / "explain")
        .and(warp::get())
        .and(context.clone())
        .then(|team: String, submission: String, context: CallerContext| async move {
            respond(
                context.request(CallerRequest::Explain { key: job_key(team, submission) }).await,
            )
        });
    let lookup = warp::path!("v1" / "jobs" / String / String)
        .and(warp::get())
        .and(context.clone())
        .then(|team: String, submission: String, context: CallerContext| async move {
            respond(context.request(CallerRequest::Lookup { key: job_key(team, submission) }).await)
        });
    let cancel = warp::path!("v1" / "jobs" / String / String)
        .and(warp::delete())
        .and(context)
        .then(|team: String, submission: String, context: CallerContext| async move {
            respond(context.request(CallerRequest::Cancel { key: job_key(team, submission) }).await)
        });
    explain.or(lookup).unify().or(cancel).unify().boxed()
}

fn status_routes(context: ContextFilter) -> warp::filters::BoxedFilter<(Response,)> {
    let health = warp::path!("healthz").and(warp::get()).map(|| "ok\n".into_response());
    let ready = warp::path!("readyz").and(warp::get()).and(context.clone()).map(readiness);
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(context)
        .map(|context: CallerContext| metrics::render(&context.edge.counters).into_response());
    health.or(ready).unify().or(metrics).unify().boxed()
}

/// Reads the whole body; an incomplete body is a malformed request.
fn body()
-> impl Filter<Extract = (Result<Bytes, Failure>,), Error = std::convert::Infallible> + Clone {
    warp::body::bytes()
        .map(Ok)
        .or(warp::any().map(|| Err(malformed("the body is incomplete"))))
        .unify()
}

fn readiness(context: CallerContext) -> Response {
    let draining = context.edge.stop.is_raised();
    let ready = context.edge.ready.load(Ordering::Acquire);
    match (draining, ready) {
        (true, _) => problem_response(&Failure::new(ErrorKind::ShuttingDown, "draining")),
        (false, false) => {
            problem_response(&Failure::new(ErrorKind::NotReady, "no configuration yet"))
        }
        (false, true) => "ready\n".into_response(),
    }
}

async fn serve_request(
    service: String,
    headers: HeaderMap,
    body: Result<Bytes, Failure>,
    context: CallerContext,
) -> Response {
    match read_request(service, &headers, body, context.edge.body_limit) {
        Ok(request) => respond(context.request(CallerRequest::Request(request)).await),
        Err(failure) => reject(&context, &failure),
    }
}

async fn serve_job(
    query: JobQuery,
    body: Result<Bytes, Failure>,
    context: CallerContext,
) -> Response {
    match body.and_then(|body| read_job(&body, context.edge.body_limit)) {
        Ok(order) => {
            let wait = query.wait.unwrap_or(true);
            respond(context.request(CallerRequest::Job { order, wait }).await)
        }
        Err(failure) => reject(&context, &failure),
    }
}

fn reject(context: &CallerContext, failure: &Failure) -> Response {
    context.edge.counters.count_failure(failure.kind);
    context.edge.counters.count_message(MessageKind::Refusal);
    problem_response(failure)
}

fn read_request(
    service: String,
    headers: &HeaderMap,
    body: Result<Bytes, Failure>,
    body_limit: u64,
) -> Result<SingleRequest, Failure> {
    let team = header(headers, TEAM_HEADER)?
        .ok_or_else(|| malformed("the Cactuswing-Team header is missing"))?;
    let submission = header(headers, KEY_HEADER)?;
    let deadline =
        header(headers, DEADLINE_HEADER)?.map(|text| read_deadline(&text)).transpose()?;
    let payload = read_payload(&body?, body_limit)?;
    let service = CompactString::from(service);
    Ok(SingleRequest { service, team, submission, deadline, payload })
}

fn header(headers: &HeaderMap, name: &str) -> Result<Option<CompactString>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text =
        value.to_str().map_err(|_| malformed(&format!("header {name} is not plain text")))?;
    if !is_name(text) {
        return Err(malformed(&format!(
            "header {name} must have 1 to 64 letters, digits, '-', '_' or '.'"
        )));
    }
    Ok(Some(CompactString::from(text)))
}

fn read_deadline(text: &str) -> Result<Duration, Failure> {
    let millis: u64 = text
        .parse()
        .map_err(|_| malformed("Cactuswing-Deadline-Ms must be a whole number of milliseconds"))?;
    if millis == 0 {
        return Err(malformed("Cactuswing-Deadline-Ms must be above zero"));
    }
    Ok(Duration::from_millis(millis))
}

fn check_length(body: &Bytes, body_limit: u64) -> Result<(), Failure> {
    if body.len() as u64 > body_limit {
        let detail = format!("the body has {} bytes; the limit is {body_limit}", body.len());
        return Err(Failure::new(ErrorKind::BodyTooLarge, detail));
    }
    Ok(())
}

fn read_payload(body: &Bytes, body_limit: u64) -> Result<Payload, Failure> {
    check_length(body, body_limit)?;
    let text = std::str::from_utf8(body).map_err(|_| malformed("the body is not UTF-8"))?;
    if text.trim().is_empty() {
        return Err(malformed("the body is missing"));
    }
    Payload::parse(text).map_err(|error| malformed(&format!("the body is not JSON: {error}")))
}

fn read_job(body: &Bytes, body_limit: u64) -> Result<JobSubmission, Failure> {
    check_length(body, body_limit)?;
    serde_json::from_slice(body)
        .map_err(|error| malformed(&format!("the job can't be read: {error}")))
}

fn malformed(detail: &str) -> Failure {
    Failure::new(ErrorKind::MalformedRequest, detail)
}

fn job_key(team: String, submission: String) -> JobKey {
    JobKey { team: team.into(), submission: submission.into() }
}

/// Encodes the answer of job tracking as an HTTP response.
fn respond(answer: CallerAnswer) -> Response {
    match answer {
        CallerAnswer::Request { answer: payload } => {
            json_response(StatusCode::OK, payload.text().to_owned())
        }
        CallerAnswer::Job { answers } => job_response(
            StatusCode::OK,
            JobBody { state: "complete", answers: Some(answers), ended: None, tasks: None },
        ),
        CallerAnswer::Accepted => job_response(
            StatusCode::ACCEPTED,
            JobBody { state: "recorded", answers: None, ended: None, tasks: None },
        ),
        CallerAnswer::InProgress { ended, tasks } => job_response(
            StatusCode::OK,
            JobBody { state: "in_progress", answers: None, ended: Some(ended), tasks: Some(tasks) },
        ),
        CallerAnswer::Explained { lines } => warp::reply::json(&lines).into_response(),
        CallerAnswer::Failed { failure } => problem_response(&failure),
    }
}

fn job_response(status: StatusCode, body: JobBody) -> Response {
    warp::reply::with_status(warp::reply::json(&body), status).into_response()
}

fn json_response(status: StatusCode, text: String) -> Response {
    let reply = warp::reply::with_header(text, "content-type", "application/json");
    warp::reply::with_status(reply, status).into_response()
}

/// Encodes a failure as `application/problem+json`.
fn problem_response(failure: &Failure) -> Response {
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

/// Responds to requests that no route matches.
async fn reject_unmatched(rejection: Rejection) -> Result<Response, std::convert::Infallible> {
    let not_found = rejection.is_not_found();
    let detail = if not_found { "no such path" } else { "the request can't be read" };
    let mut response = problem_response(&malformed(detail));
    if not_found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
