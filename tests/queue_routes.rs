//! Which queue a caller's request is for.

use std::sync::Arc;

use decisions::entry::QueueRoutes;
use model::{QueueCatalog, QueueRule};

use crate::schedule_model::catalog;

fn with_queues(places: &[(&str, &str, &str)]) -> QueueRoutes {
    let mut whole = QueueCatalog::clone(&catalog(3));
    let rule: QueueRule = whole.queues[0].clone();
    whole.queues.clear();
    for (name, host, prefix) in places {
        let rule =
            QueueRule { host: (*host).into(), path_prefix: (*prefix).into(), ..rule.clone() };
        whole.queues.insert((*name).into(), rule);
    }
    QueueRoutes::new(&Arc::new(whole))
}

fn find<'a>(routes: &'a QueueRoutes, host: &str, path: &'a str) -> Option<(&'a str, &'a str)> {
    routes.find(host, path).map(|place| (place.queue.as_str(), place.rest))
}

#[test]
fn longest_prefix_wins() {
    let routes = with_queues(&[("wide", "a.example", "/x/"), ("narrow", "a.example", "/x/y/")]);
    assert_eq!(find(&routes, "a.example", "/x/y/17"), Some(("narrow", "17")));
    assert_eq!(find(&routes, "a.example", "/x/17"), Some(("wide", "17")));
    assert_eq!(find(&routes, "a.example", "/x/"), Some(("wide", "")));
}

#[test]
fn hosts_are_apart() {
    let routes = with_queues(&[("one", "a.example", "/x/"), ("other", "b.example", "/x/")]);
    assert_eq!(find(&routes, "B.example:8080", "/x/1"), Some(("other", "1")));
    assert_eq!(find(&routes, "c.example", "/x/1"), None);
    assert_eq!(find(&routes, "", "/x/1"), None);
}

#[test]
fn unknown_path_refused() {
    let routes = with_queues(&[("one", "a.example", "/x/")]);
    assert_eq!(find(&routes, "a.example", "/y/1"), None);
    assert_eq!(find(&routes, "a.example", "/x"), None);
}
