//! Catalogs with odd numbers, as an operator may send them, or as an earlier version
//! may have stored them. None may end a scheduler, or keep it from scheduling.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use model::{Command, JobPhase, QueueCatalog};
use platform::{CatalogError, read_catalog};
use serde_json::{Value, json};

use crate::schedule_model::{QUEUE, ScheduleModel, catalog, job};

fn document(field: &str, value: &str) -> String {
    let mut route = json!({ "name": "r-1", "host": "a.example", "path_prefix": "/x/",
        "timeout_ms": 1_500, "service": "s", "max_attempts": 4 });
    route[field] = Value::from("ODD");
    let config = json!({ "version": 7, "routes": [route], "services": [{ "name": "s" }] });
    config.to_string().replace("\"ODD\"", value)
}

/// A catalog whose only queue has this factor and base objective.
fn odd_catalog(factor: f64, base_objective_ms: u64) -> Arc<QueueCatalog> {
    let mut odd = (*catalog(2)).clone();
    let rule = odd.queues.get_mut(QUEUE).expect("the model has one queue");
    rule.critical_path_factor = factor;
    rule.base_objective_ms = base_objective_ms;
    Arc::new(odd)
}

// Once committed, an odd value meets every scheduler at each of its starts.
#[test]
fn odd_fields_named() {
    for (field, value) in [
        ("stretch", "-1.5"),
        ("stretch", "1e300"),
        ("stretch", "null"),
        ("stretch", "1e999"),
        ("goal_ms", "18446744073709551615"),
        ("goal_ms", "-60"),
        ("timeout_ms", "0"),
    ] {
        let error = read_catalog(document(field, value)).expect_err(value).to_string();
        let undecodable = error.contains("cannot decode");
        assert!(error.contains(field) || undecodable, "{field} {value}: {error}");
    }
}

// The factor's own bounds, and values that an operator may use for "no limit".
#[test]
fn extreme_fields_accepted() {
    for (field, value) in [
        ("stretch", "0"),
        ("stretch", "1000"),
        ("goal_ms", "0"),
        ("goal_ms", "31536000000"),
        ("timeout_ms", "18446744073709551615"),
        ("max_attempts", "4294967295"),
        ("priority", "4294967295"),
    ] {
        assert!(read_catalog(document(field, value)).is_ok(), "{field} {value}");
    }
}

// Guards against a configuration that is acknowledged, and served in another form than it
// was sent.
#[test]
fn altered_text_refused() {
    let text = document("host", "\"a\u{fc}.example\"");
    assert!(read_catalog(&text).is_ok());
    let odd: Vec<u8> = text.chars().map(|letter| letter as u8).collect();
    assert_matches!(read_catalog(&odd), Err(CatalogError::NotText { .. }));
}

/// A configuration of two routes to one path, at these hosts.
fn routes_at(hosts: [&str; 2]) -> String {
    let route = |name, host| {
        json!({ "name": name, "host": host, "path_prefix": "/x/", "timeout_ms": 1_500,
            "service": "s" })
    };
    let routes = [route("r-1", hosts[0]), route("r-2", hosts[1])];
    json!({ "version": 7, "routes": routes, "services": [{ "name": "s" }] }).to_string()
}

// Guards against an acknowledged route that is never served: routing ignores the letter case
// of host names, so that the other route of the pair takes its requests.
#[test]
fn shared_place_refused() {
    for hosts in [["a.example", "A.example"], ["a.EXAMPLE", "a.example"]] {
        let refused = read_catalog(routes_at(hosts));
        assert_matches!(refused, Err(CatalogError::DuplicateRoute { .. }), "{hosts:?}");
    }
    assert!(read_catalog(routes_at(["a.example", "b.example"])).is_ok());
}

/// A configuration with all fields that operators send, one of them of this value.
fn full_document(list: &str, field: &str, value: &Value) -> String {
    let mut config = json!({ "version": 7,
        "routes": [{ "name": "r-1", "host": "a.example", "path_prefix": "/x/", "kind": "unsafe",
            "timeout_ms": 1_500, "goal_ms": 60, "priority": 0, "service": "s",
            "max_attempts": 4, "stretch": 1.6 }],
        "services": [{ "name": "s", "health_path": "/health", "max_conns": 64, "protocol": "h1",
            "tls": false, "enforce_capacity": true, "spare": false }],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 } });
    let fields = match list {
        "limits" => &mut config["limits"],
        list => &mut config[list][0],
    };
    fields[field] = value.clone();
    config.to_string()
}

// Guards against a configuration that can't be read in full and is acknowledged: fields that
// no decision uses were not read at all.
#[test]
fn wrong_types_refused() {
    let (text, number, flag) = (json!("x"), json!(7), json!(true));
    for (list, field, valid, invalid) in [
        ("routes", "name", &text, &number),
        ("routes", "host", &text, &number),
        ("routes", "path_prefix", &text, &flag),
        ("routes", "kind", &text, &number),
        ("routes", "timeout_ms", &number, &text),
        ("routes", "goal_ms", &number, &text),
        ("routes", "priority", &number, &text),
        ("routes", "max_attempts", &number, &text),
        ("routes", "stretch", &number, &text),
        ("services", "health_path", &text, &number),
        ("services", "max_conns", &number, &text),
        ("services", "protocol", &text, &flag),
        ("services", "tls", &flag, &text),
        ("services", "enforce_capacity", &flag, &number),
        ("services", "spare", &flag, &number),
        ("limits", "max_header_bytes", &number, &text),
        ("limits", "max_body_bytes", &number, &text),
        ("limits", "header_timeout_ms", &number, &flag),
        ("limits", "idle_timeout_ms", &number, &text),
    ] {
        let document = full_document(list, field, valid);
        assert!(read_catalog(document).is_ok(), "{list} {field} {valid}");
        let refused = read_catalog(full_document(list, field, invalid));
        assert_matches!(refused, Err(CatalogError::Unreadable { .. }), "{list} {field}");
    }
    assert!(read_catalog(full_document("services", "max_conns", &Value::Null)).is_ok());
    assert!(read_catalog(full_document("services", "novel", &text)).is_ok());
}

// Guards against a configuration of which a part is read twice, or only in part.
#[test]
fn odd_documents_refused() {
    let document = full_document("routes", "novel", &Value::Null);
    for (from, to) in [
        ("\"version\":7", "\"version\":7,\"version\":8"),
        ("\"timeout_ms\":1500", "\"timeout_ms\":1500,\"timeout_ms\":1"),
        ("\"version\":7", "\"version\":18446744073709551616"),
        ("\"version\":7", "\"version\":-7"),
        ("\"version\":7", "\"version\":7.5"),
        ("\"version\":7", "\"version\":\"7\""),
        ("\"version\":7", "\"version\":null"),
        ("\"services\":", "\"servants\":"),
        ("\"routes\":", "\"roots\":"),
    ] {
        let odd = document.replace(from, to);
        assert_ne!(odd, document, "{from}");
        assert_matches!(read_catalog(odd), Err(CatalogError::Unreadable { .. }), "{to}");
    }
    for odd in
        [format!("{document}}}"), format!("{document}{document}"), format!("\u{feff}{document}")]
    {
        assert!(read_catalog(odd).is_err());
    }
    for end in 0..document.len() {
        assert!(read_catalog(&document[..end]).is_err(), "cut short at {end}");
    }
}

// Deep nesting must exhaust no stack, neither where a field is used nor where it isn't.
#[test]
fn nested_catalogs_refused() {
    let deep = format!("{}{}", "{\"a\":".repeat(50_000), "1".to_owned() + &"}".repeat(50_000));
    assert!(read_catalog(document("stretch", &deep)).is_err());
    assert!(read_catalog(document("novel", &deep)).is_ok());
    assert!(read_catalog(&deep).is_err());
}

// A catalog that an earlier version committed: each leader ended when it took over a
// job of the queue, and each entry when it was sent one.
#[test]
fn stored_odd_catalogs_survived() {
    for (factor, base_objective_ms) in
        [(-1.5, 60), (f64::NAN, 60), (f64::MAX, 60), (f64::INFINITY, 60), (1e17, u64::MAX)]
    {
        let mut model = ScheduleModel::new(0, 1);
        let catalog = odd_catalog(factor, base_objective_ms);
        model.commit_command(Command::SetCatalog { catalog: Arc::clone(&catalog) });
        let stored = job(1, 3, false);
        model.submit(0, Arc::clone(&stored));
        model.run_fault_free(2);
        model.change_leader();
        model.run_fault_free(400);
        assert_eq!(model.stored_phase(&stored), Some(JobPhase::Completed), "factor {factor}");
    }
}

// The objective of every accepted queue and job must be a time that can be waited for.
#[test]
fn objectives_bounded() {
    for (factor, base_objective_ms) in [(-1.5, 60), (f64::NAN, 60), (f64::MAX, u64::MAX)] {
        let catalog = odd_catalog(factor, base_objective_ms);
        for path in [Duration::ZERO, Duration::from_millis(100), Duration::MAX] {
            let objective = catalog.queues[QUEUE].objective(path);
            assert!(std::time::Instant::now().checked_add(objective * 3).is_some());
        }
    }
}
