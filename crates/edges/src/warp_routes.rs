//! Serves routes of warp within the limits of a listener.
//!
//! Invariant: a body is read before its route sees the request, and only where the route's
//! edge names a limit for it.

use std::future::Future;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use warp::filters::BoxedFilter;
use warp::http::Request;
use warp::http::request::Parts;
use warp::reply::Response;

use crate::http_listener::{BodyRefusal, HttpRequest};

/// A handler that serves these routes. `body_limit` is the maximum length of the body of a
/// request, `None` where none is read, and `refuse` builds the response where the body can't
/// be read.
pub(crate) fn warp_handler(
    routes: BoxedFilter<(Response,)>,
    body_limit: impl Fn(&Parts) -> Option<u64> + Clone + 'static,
    refuse: impl Fn(BodyRefusal) -> Response + Clone + 'static,
) -> impl Fn(HttpRequest) -> RouteFuture + Clone + 'static {
    let service = TowerToHyperService::new(warp::service(routes));
    move |request| {
        let HttpRequest { parts, body } = request;
        let (service, refuse) = (service.clone(), refuse.clone());
        let limit = body_limit(&parts);
        Box::pin(async move {
            let bytes = match limit {
                Some(limit) => match body.read(limit).await {
                    Ok(bytes) => bytes,
                    Err(refusal) => return refusal.mark(refuse(refusal)),
                },
                None => Vec::new(),
            };
            let request = Request::from_parts(parts, Full::new(Bytes::from(bytes)));
            match service.call(request).await {
                Ok(response) => response,
                Err(never) => match never {},
            }
        })
    }
}

/// What serves one request.
pub(crate) type RouteFuture = std::pin::Pin<Box<dyn Future<Output = Response>>>;
