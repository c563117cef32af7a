//! Validation of settings and operator texts: every error is reported, each with
//! its place in the document.

use model::{
    AdmissionRule, DEFAULT_GUARANTEED_SHARE, Precedence, ValidationError, read_agent_settings,
    read_control_settings, read_entry_settings, read_operator_config,
};

fn error_places(errors: &[ValidationError]) -> Vec<&str> {
    errors.iter().map(|error| error.path.as_str()).collect()
}

#[test]
fn examples_are_valid() {
    use cactuswing::examples::{AGENT, CONTROL, ENTRY, TEXT};
    read_entry_settings(ENTRY).expect("example settings of the entry");
    read_agent_settings(AGENT).expect("example settings of the agent");
    read_control_settings(CONTROL).expect("example settings of the control host");
    read_operator_config(TEXT).expect("example operator text");
    read_operator_config(include_str!("../examples/ringklocka.json"))
        .expect("Ringklocka's operator text");
}

#[test]
fn all_errors_reported() {
    let text = r#"{ "name": "an entry", "listen": "localhost:7", "controls": ["x", 7],
        "task_limit": 0, "colour": "red", "log": { "level": "loud" } }"#;
    let errors = read_entry_settings(text).expect_err("invalid settings");
    let expected = [
        "$.name",
        "$.domain",
        "$.listen",
        "$.controls[0]",
        "$.controls[1]",
        "$.task_limit",
        "$.log.level",
        "$.colour",
    ];
    assert_eq!(error_places(&errors), expected);
    assert!(errors.iter().all(|error| error.expected.contains("expected")));
}

#[test]
fn syntax_error_located() {
    let errors = read_entry_settings("{\n  \"name\": ,\n}").expect_err("invalid JSON");
    assert_eq!(error_places(&errors), ["line 2 column 11"]);
}

/// Without the setting nothing changes, and a value of another type is an error with its place.
#[test]
fn speed_reports_checked() {
    let entry = |front: &str| {
        let addresses = r#""listen": "127.0.0.1:2", "ready": "127.0.0.1:3""#;
        let text = format!(
            r#"{{ "name": "e", "domain": "d", "listen": "127.0.0.1:1", "controls": ["127.0.0.1:4"],
            "front": {{ {addresses} {front} }} }}"#
        );
        read_entry_settings(&text).map(|settings| settings.front.expect("a front").speed_reports)
    };
    assert_eq!(entry(""), Ok(false));
    assert_eq!(entry(r#", "speed_reports": true"#), Ok(true));
    let errors = entry(r#", "speed_reports": 1"#).expect_err("not a boolean");
    assert_eq!(error_places(&errors), ["$.front.speed_reports"]);
    let agent = |server: &str| {
        let text = format!(
            r#"{{ "worker": "w", "domain": "d", "rack": "r", "listen": "127.0.0.1:1",
            "announce_listen": "127.0.0.1:2", "controls": ["127.0.0.1:4"], "cores": 1,
            "memory_mb": 1, "server": {{ "address": "127.0.0.1:3", "lease_ms": 1000 {server} }} }}"#
        );
        read_agent_settings(&text).map(|settings| settings.server.expect("a server").speed_reports)
    };
    assert_eq!(agent(""), Ok(false));
    assert_eq!(agent(r#", "speed_reports": true"#), Ok(true));
    let errors = agent(r#", "speed_reports": "yes""#).expect_err("not a boolean");
    assert_eq!(error_places(&errors), ["$.server.speed_reports"]);
}

// Guards against a setting that is on by default, or taken from a value of another type.
#[test]
fn rack_reserve_checked() {
    let entry = |field: &str| {
        read_entry_settings(&front_settings(field))
            .map(|settings| settings.front.expect("a front").rack_reserve)
    };
    let control = |field: &str| {
        let text = format!(
            r#"{{ "name": "a", "domain": "d", "listen": "127.0.0.1:1", "data_folder": "x",
            "seeds": ["127.0.0.1:2"]{field} }}"#
        );
        read_control_settings(&text).map(|settings| settings.rack_reserve)
    };
    let on = r#", "rack_reserve": true"#;
    assert_eq!([entry(""), control("")], [Ok(false), Ok(false)]);
    assert_eq!([entry(on), control(on)], [Ok(true), Ok(true)]);
    let wrong = r#", "rack_reserve": "on""#;
    let errors = entry(wrong).expect_err("not a boolean");
    assert_eq!(error_places(&errors), ["$.front.rack_reserve"]);
    let errors = control(wrong).expect_err("not a boolean");
    assert_eq!(error_places(&errors), ["$.rack_reserve"]);
}

// Guards against a misspelt or mistyped value that silently leaves interference unlearned.
#[test]
fn interference_validated() {
    let entry = |field| read_entry_settings(&front_settings(field)).map(|entry| entry.front);
    let is_used = |field| entry(field).expect("valid settings").expect("a front").interference;
    assert!(!is_used(""));
    assert!(is_used(r#", "interference": true"#));
    let errors = entry(r#", "interference": "true""#).expect_err("not a boolean");
    assert_eq!(error_places(&errors), ["$.front.interference"]);
    let agent = |server: &str| {
        let text = format!(
            r#"{{ "worker": "w", "domain": "d", "rack": "r", "listen": "127.0.0.1:1",
            "announce_listen": "127.0.0.1:2", "controls": ["127.0.0.1:4"], "cores": 1,
            "memory_mb": 1, "server": {{ "address": "127.0.0.1:3", "lease_ms": 1000 {server} }} }}"#
        );
        read_agent_settings(&text).map(|settings| settings.server.expect("a server").interference)
    };
    assert_eq!(agent(""), Ok(false));
    assert_eq!(agent(r#", "interference": true"#), Ok(true));
    let errors = agent(r#", "interference": 1"#).expect_err("not a boolean");
    assert_eq!(error_places(&errors), ["$.server.interference"]);
}

#[test]
fn resend_starts_checked() {
    let agent = |server: &str| {
        let text = format!(
            r#"{{ "worker": "w", "domain": "d", "rack": "r", "listen": "127.0.0.1:1",
            "announce_listen": "127.0.0.1:2", "controls": ["127.0.0.1:4"], "cores": 1,
            "memory_mb": 1, "server": {{ "address": "127.0.0.1:3", "lease_ms": 1000 {server} }} }}"#
        );
        read_agent_settings(&text).map(|settings| settings.server.expect("a server").resend_starts)
    };
    assert_eq!(agent(""), Ok(false));
    assert_eq!(agent(r#", "resend_starts": true"#), Ok(true));
    let errors = agent(r#", "resend_starts": 2"#).expect_err("not a boolean");
    assert_eq!(error_places(&errors), ["$.server.resend_starts"]);
}

#[test]
fn duplicate_member_reported() {
    let text = r#"{ "name": "a", "domain": "d", "listen": "127.0.0.1:1", "data_folder": "x",
        "group": [{ "name": "a", "address": "127.0.0.1:1" }, { "name": "a", "address": "127.0.0.1:2" }] }"#;
    let errors = read_control_settings(text).expect_err("duplicate member name");
    assert_eq!(error_places(&errors), ["$.group[1].name"]);
}

#[test]
fn dependencies_validated() {
    let text = r#"{ "teams": {}, "services": {
        "a": { "idempotent": true, "depends_on": ["b"] },
        "b": { "idempotent": true, "depends_on": ["a"] },
        "c": { "idempotent": true, "depends_on": ["a"] },
        "d": { "idempotent": true } } }"#;
    let errors = read_operator_config(text).expect_err("cyclic dependencies");
    let expected =
        ["$.services.a.depends_on", "$.services.b.depends_on", "$.services.c.depends_on"];
    assert_eq!(error_places(&errors), expected);
    let text =
        r#"{ "teams": {}, "services": { "a": { "idempotent": true, "depends_on": ["x", "y"] } } }"#;
    let errors = read_operator_config(text).expect_err("unknown services");
    assert_eq!(error_places(&errors), ["$.services.a.depends_on[0]", "$.services.a.depends_on[1]"]);
}

/// Settings of an entry for callers of queues, with another field of its `front`.
fn front_settings(field: &str) -> String {
    format!(
        r#"{{ "name": "a", "domain": "d", "listen": "127.0.0.1:1", "controls": ["127.0.0.1:2"],
        "front": {{ "listen": "127.0.0.1:3", "ready": "127.0.0.1:4"{field} }} }}"#
    )
}

// A misspelled rule must not silently leave the default in force.
#[test]
fn admission_validated() {
    let read = |field| read_entry_settings(&front_settings(field)).map(|entry| entry.front);
    let rule = |field| read(field).expect("valid settings").expect("a front").admission;
    assert_eq!(rule(""), AdmissionRule::Backlog);
    assert_eq!(rule(r#", "admission": "expected_start""#), AdmissionRule::ExpectedStart);
    for field in [r#", "admission": "expected""#, r#", "admission": 1"#] {
        let errors = read(field).expect_err("no such rule");
        assert_eq!(error_places(&errors), ["$.front.admission"]);
    }
}

// Guards against a guarantee that is no share.
#[test]
fn guarantee_validated() {
    let read = |field| read_entry_settings(&front_settings(field)).map(|entry| entry.front);
    let share = |field| read(field).expect("valid settings").expect("a front").guaranteed_share;
    assert_eq!(share(""), DEFAULT_GUARANTEED_SHARE);
    assert_eq!(share(r#", "guaranteed_share": 0.25"#), 0.25);
    for field in [r#", "guaranteed_share": 1.5"#, r#", "guaranteed_share": "a""#] {
        let errors = read(field).expect_err("no share");
        assert_eq!(error_places(&errors), ["$.front.guaranteed_share"]);
    }
}

// Guards against a misspelt order of queues that is silently taken for none.
#[test]
fn precedence_validated() {
    let entry = |precedence: &str| {
        format!(
            r#"{{ "name": "a", "domain": "d", "listen": "127.0.0.1:1", "controls": ["127.0.0.1:2"],
            "front": {{ "listen": "127.0.0.1:3", "ready": "127.0.0.1:4"{precedence} }} }}"#
        )
    };
    let front = |precedence: &str| read_entry_settings(&entry(precedence)).map(|entry| entry.front);
    let absent = front("").expect("no order").expect("a front");
    assert_eq!(absent.precedence, None);
    let present = front(r#", "precedence": "priority""#).expect("an order").expect("a front");
    assert_eq!(present.precedence, Some(Precedence::Priority));
    for wrong in [r#""urgent""#, "0", "null"] {
        let errors = front(&format!(r#", "precedence": {wrong}"#)).expect_err(wrong);
        assert_eq!(error_places(&errors), ["$.front.precedence"]);
    }
    let control = r#"{ "name": "a", "domain": "d", "listen": "127.0.0.1:1", "data_folder": "x",
        "group": [{ "name": "a", "address": "127.0.0.1:1" }], "precedence": "urgent" }"#;
    let errors = read_control_settings(control).expect_err("an unknown order");
    assert_eq!(error_places(&errors), ["$.precedence"]);
    let settings = read_control_settings(&control.replace("urgent", "priority"));
    assert_eq!(settings.expect("an order").precedence, Some(Precedence::Priority));
}
