//! Settings and texts: every mistake is reported with its place.

use model::{
    Mistake, read_agent_settings, read_control_settings, read_entry_settings, read_operator_text,
};

fn places(mistakes: &[Mistake]) -> Vec<&str> {
    mistakes.iter().map(|mistake| mistake.place.as_str()).collect()
}

#[test]
fn examples_are_right() {
    use cactuswing::examples::{AGENT, CONTROL, ENTRY, TEXT};
    read_entry_settings(ENTRY).expect("the entry's example");
    read_agent_settings(AGENT).expect("the agent's example");
    read_control_settings(CONTROL).expect("the control host's example");
    read_operator_text(TEXT).expect("the text's example");
    read_operator_text(include_str!("../examples/ringklocka.json")).expect("the other firm's text");
}

#[test]
fn all_mistakes_told() {
    let text = r#"{ "name": "an entry", "listen": "localhost:7", "controls": ["x", 7],
        "task_limit": 0, "colour": "red", "log": { "level": "loud" } }"#;
    let mistakes = read_entry_settings(text).expect_err("it has mistakes");
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
    assert_eq!(places(&mistakes), expected);
    assert!(mistakes.iter().all(|mistake| mistake.expected.contains("expected")));
}

#[test]
fn broken_json_placed() {
    let mistakes = read_entry_settings("{\n  \"name\": ,\n}").expect_err("it is broken");
    assert_eq!(places(&mistakes), ["line 2 column 11"]);
}

#[test]
fn groups_are_checked() {
    let text = r#"{ "name": "a", "domain": "d", "listen": "127.0.0.1:1", "data_folder": "x",
        "group": [{ "name": "a", "address": "127.0.0.1:1" }, { "name": "a", "address": "127.0.0.1:2" }] }"#;
    let mistakes = read_control_settings(text).expect_err("a name stands twice");
    assert_eq!(places(&mistakes), ["$.group[1].name"]);
}

#[test]
fn dependencies_are_checked() {
    let text = r#"{ "teams": {}, "services": {
        "a": { "idempotent": true, "depends_on": ["b"] },
        "b": { "idempotent": true, "depends_on": ["a"] },
        "c": { "idempotent": true, "depends_on": ["a"] },
        "d": { "idempotent": true } } }"#;
    let mistakes = read_operator_text(text).expect_err("it has a cycle");
    let expected =
        ["$.services.a.depends_on", "$.services.b.depends_on", "$.services.c.depends_on"];
    assert_eq!(places(&mistakes), expected);
    let text =
        r#"{ "teams": {}, "services": { "a": { "idempotent": true, "depends_on": ["x", "y"] } } }"#;
    let mistakes = read_operator_text(text).expect_err("it names unknown services");
    assert_eq!(places(&mistakes), ["$.services.a.depends_on[0]", "$.services.a.depends_on[1]"]);
}
