//! Heartbeats with odd content, for example of another writer: nested deeply, with a
//! number beyond any real one, or with a port out of range. Nothing of such a heartbeat
//! is used, none ends a process, and the backend server's own ones are still followed.

use std::time::{Duration, SystemTime};

use platform::{check_born, read_heartbeat};
use serde_json::{Value, json};

use crate::schedule_model::SERVICE;

fn heartbeat_body() -> Value {
    json!({
        "service": SERVICE, "address": "10.128.0.9:8080", "zone": "umea", "state": "ready",
        "capacity": { "cpu": 4000, "mem_mb": 1000, "gpu": 0 }, "labels": ["a", "r1-3"],
        "clock_ms": 482113, "sequence": 4, "born": 17
    })
}

fn changed_body(change: impl FnOnce(&mut Value)) -> String {
    let mut body = heartbeat_body();
    change(&mut body);
    body.to_string()
}

/// The text of a heartbeat's error.
fn error_of(body: &str) -> String {
    let error = read_heartbeat("i-1", body.as_bytes()).expect_err(body);
    error.to_string()
}

// A number at the end of its type passed, and was used in sums and comparisons.
#[test]
fn huge_numbers_refused() {
    for path in
        ["/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu", "/sequence", "/born", "/clock_ms"]
    {
        for value in [u64::MAX, u64::MAX - 1, i64::MAX as u64] {
            let body = changed_body(|body| {
                *body.pointer_mut(path).expect("a known field") = json!(value);
            });
            let field = path.rsplit('/').next().expect("a path has a last part");
            let error = error_of(&body);
            assert!(error.contains(field) && error.contains("maximum"), "{path}: {error}");
        }
    }
}

// Numbers that the decoder has to refuse: beyond 64 bits, negative, or not whole.
#[test]
fn undecodable_numbers_refused() {
    for value in ["18446744073709551616", "-1", "1.5", "1e400", "1e5", "\"4\"", "null", "[]"] {
        for field in ["cpu", "sequence", "born"] {
            let marked = changed_body(|body| match field {
                "cpu" => body["capacity"][field] = json!("ODD"),
                _ => body[field] = json!("ODD"),
            });
            let body = marked.replace("\"ODD\"", value);
            assert!(read_heartbeat("i-1", body.as_bytes()).is_err(), "{field} {value}");
        }
    }
}

#[test]
fn odd_addresses_refused() {
    for address in [
        "10.128.0.9:65536",
        "10.128.0.9:99999999999999999999",
        "10.128.0.9:-1",
        "10.128.0.9:0",
        "10.128.0.9",
        "10.128.0.256:80",
        ":8080",
        "",
    ] {
        let error = error_of(&changed_body(|body| body["address"] = json!(address)));
        assert!(error.contains("address") && error.contains("port"), "{address}: {error}");
    }
}

// Nesting deep enough to exhaust the stack of a recursive decoder, both in a field that
// is used and in one that is ignored.
#[test]
fn nested_bodies_survived() {
    for depth in [200, 20_000] {
        let deep = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        let objects = format!("{}1{}", "{\"a\":".repeat(depth / 5), "}".repeat(depth / 5));
        for nested in [deep, objects] {
            for field in ["service", "labels", "address", "sequence", "born", "state"] {
                let marked = changed_body(|body| body[field] = json!("ODD"));
                error_of(&marked.replace("\"ODD\"", &nested));
            }
            let ignored = changed_body(|body| body["version"] = json!("ODD"));
            assert!(read_heartbeat("i-1", ignored.replace("\"ODD\"", &nested).as_bytes()).is_ok());
        }
    }
}

// Each report to a scheduler repeats these texts. One beyond the limit of a message
// would end every session.
#[test]
fn long_texts_refused() {
    let long = "x".repeat(200);
    for (field, value) in [
        ("service", json!(long)),
        ("zone", json!(long)),
        ("labels", json!([long])),
        ("labels", json!(vec!["r"; 1_000])),
    ] {
        let error = error_of(&changed_body(|body| body[field] = value));
        assert!(error.contains(field) && error.contains("maximum"), "{field}: {error}");
    }
    let padded = changed_body(|body| body["version"] = json!("x".repeat(5_000_000)));
    assert!(error_of(&padded).contains("bytes"));
    let body = heartbeat_body().to_string();
    for instance in ["", "i 1", "i-1\n", "\u{e4}", long.as_str()] {
        let error = read_heartbeat(instance, body.as_bytes()).expect_err(instance).to_string();
        assert!(error.contains("instance"), "{error}");
    }
}

// A limit that is too low would refuse the servers of a real deployment.
#[test]
fn generous_values_accepted() {
    let body = changed_body(|body| {
        body["capacity"] = json!({ "cpu": 1_000_000, "mem_mb": 100_000_000, "gpu": 1_000 });
        body["sequence"] = json!(1_u64 << 40);
        body["clock_ms"] = json!(10 * 365 * 24 * 3_600 * 1_000_u64);
        body["labels"] = json!(vec!["rack"; 32]);
    });
    assert!(read_heartbeat("i-7f3a91c2.north_1", body.as_bytes()).is_ok());
}

// A start in the future would outrank every later, true start of the server.
#[test]
fn future_starts_refused() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(1_800_000_000_000);
    let day_ms = 24 * 3_600 * 1_000;
    for (born, accepted) in [
        (0, true),
        (17, true),
        (1_800_000_000_000, true),
        // The clocks of hosts may differ, and be set while a server runs.
        (1_800_000_000_000 + 60_000, true),
        (1_800_000_000_000 + 2 * day_ms, false),
        (1_u64 << 52, false),
    ] {
        let body = changed_body(|body| body["born"] = json!(born));
        let heartbeat = read_heartbeat("i-1", body.as_bytes()).expect("a heartbeat in range");
        let checked = check_born(&heartbeat, now);
        assert_eq!(checked.is_ok(), accepted, "born {born}");
        if let Err(error) = checked {
            assert!(error.to_string().contains("born"), "{error}");
        }
    }
}
