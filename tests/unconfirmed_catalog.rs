//! An entry whose catalog no leader has confirmed for a while does not say that a queue is
//! missing: a newer catalog may have it.

use std::time::{Duration, Instant};

use decisions::entry::{ConfirmedRoutes, QueueRoutes, RouteLookup};

use crate::schedule_model::catalog;

const MAX_AGE: Duration = Duration::from_millis(2_000);

fn routes(now: Instant) -> ConfirmedRoutes {
    ConfirmedRoutes::new(QueueRoutes::new(&catalog(3)), now, MAX_AGE)
}

/// After a change of leader, entries answered 404 for queues of a newer catalog, which they
/// had not received.
#[test]
fn missing_queue_unconfirmed() {
    let now = Instant::now();
    let routes = routes(now);
    assert_eq!(routes.find(now + MAX_AGE, "b.example", "/new/"), RouteLookup::NoRoute);
    let later = now + MAX_AGE + Duration::from_millis(1);
    assert_eq!(routes.find(later, "b.example", "/new/"), RouteLookup::Unconfirmed);
}

#[test]
fn confirmation_extends() {
    let now = Instant::now();
    let mut routes = routes(now);
    routes.confirm(now + MAX_AGE);
    routes.confirm(now);
    assert_eq!(routes.find(now + 2 * MAX_AGE, "b.example", "/new/"), RouteLookup::NoRoute);
}

#[test]
fn known_queue_found() {
    let now = Instant::now();
    let known = catalog(3);
    let queue = &known.queues[0];
    let path = format!("{}1", queue.path_prefix);
    let routes = routes(now);
    let found = routes.find(now + 60 * MAX_AGE, &queue.host, &path);
    assert!(matches!(found, RouteLookup::Found(_)), "{found:?}");
}
