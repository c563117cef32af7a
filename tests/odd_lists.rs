//! Lists of a backend server with odd rows: nested, of another type, or with a number
//! beyond any real one. The other rows are used, and a run is not taken to be over
//! because its row can't be read.

use assert_matches::assert_matches;
use model::{EndKind, ListedEnd, RunUpdate, ServerAnswer, TaskRun};
use platform::{ServerReply, read_reply};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::agent_fixture::{AgentFixture, is_start, run_of};
use crate::support::case_count;

const TASK: &str = "5c0e7a21d94b36f8.0.0.1";

fn read_lists(running: &str, ended: &str) -> ServerAnswer {
    let body = format!("{{\"clock_ms\":1,\"running\":{running},\"ended\":{ended}}}");
    read_reply(200, body.as_bytes()).expect("the reply as a whole can be read").answer
}

fn odd_rows() -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    vec![
        "7".to_owned(),
        "null".to_owned(),
        "[]".to_owned(),
        "[7]".to_owned(),
        "{}".to_owned(),
        format!("[\"{TASK}\"]"),
        format!("[\"{TASK}\",-1]"),
        format!("[\"{TASK}\",1.5]"),
        format!("[\"{TASK}\",1e999]"),
        format!("[\"{TASK}\",18446744073709551615]"),
        format!("[\"{TASK}\",18446744073709551616]"),
        "[\"5c0e7a21d94b36f8.0.0.4294967296\",1]".to_owned(),
        "[\"5c0e7a21d94b36f8\",1]".to_owned(),
        format!("[{deep},1]"),
        deep,
    ]
}

// One odd row hid all others: no end was seen any more.
#[test]
fn odd_running_rows_skipped() {
    for odd in odd_rows() {
        let answer = read_lists(
            &format!("[[\"{TASK}\",2],{odd}]"),
            &format!("[[58,\"{TASK}\",1,\"done\"]]"),
        );
        assert_matches!(answer, ServerAnswer::PartialLists { running, ended } => {
            assert_eq!(running, [TaskRun { run: 2, ..run_of(1) }]);
            assert_eq!(ended.len(), 1);
        }, "{:.60}", odd);
    }
}

#[test]
fn odd_ended_rows_skipped() {
    let rows = odd_rows().into_iter().map(|row| match row.strip_prefix('[') {
        Some(rest) if row.starts_with("[\"") => format!("[59,{rest}"),
        _ => row,
    });
    let numbers = ["0", "-1", "1.5", "18446744073709551615", "\"59\"", "null"];
    let rows = rows.chain(numbers.map(|number| format!("[{number},\"{TASK}\",1,\"done\"]")));
    for odd in rows.chain([format!("[59,\"{TASK}\",1]"), format!("[59,\"{TASK}\",1,7]")]) {
        let ended = format!("[[58,\"{TASK}\",1,\"done\"],{odd},[60,\"{TASK}\",3,\"failed\"]]");
        assert_matches!(read_lists("[]", &ended), ServerAnswer::PartialLists { ended, .. } => {
            let numbers: Vec<u64> = ended.iter().map(|end| end.number).collect();
            assert_eq!(numbers, [58, 60]);
            assert_eq!(ended[1].kind, EndKind::Failed);
        }, "{:.60}", odd);
    }
}

// What follows the columns that are used may have any form.
#[test]
fn odd_extra_columns_ignored() {
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    for extra in [deep.as_str(), "1e999", "{\"a\":null}"] {
        let running = format!("[[\"{TASK}\",2,{extra}]]");
        let ended = format!("[[58,\"{TASK}\",1,\"done\",{extra}]]");
        assert_matches!(read_lists(&running, &ended), ServerAnswer::Lists { running, ended } => {
            assert_eq!((running.len(), ended.len()), (1, 1));
        });
    }
}

// The clock reading was used in sums, and its end was cut off on the wire.
#[test]
fn odd_clocks_ignored() {
    for clock in ["18446744073709551615", "-1", "1.5", "\"1\"", "null", "[[]]", "1e999"] {
        let body = format!("{{\"clock_ms\":{clock},\"running\":[],\"ended\":[]}}");
        let reply = read_reply(200, body.as_bytes()).expect("a readable reply");
        let ServerReply { answer, clock, .. } = reply;
        assert_matches!(answer, ServerAnswer::Lists { .. });
        assert_eq!(clock, None);
    }
}

#[test]
fn unreadable_replies_refused() {
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    for body in [
        "{\"running\":7,\"ended\":[]}".to_owned(),
        "{\"running\":[],\"ended\":[".to_owned(),
        "\u{0}".to_owned(),
        deep,
    ] {
        assert!(read_reply(200, body.as_bytes()).is_err(), "{body:.60}");
    }
}

fn started_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    for index in 0..3 {
        agent.start_run(run_of(index), 100);
        let start = agent.take_call(is_start).expect("there is free capacity");
        agent.answer(&start, ServerAnswer::Done);
    }
    agent
}

fn end(number: u64, index: u32) -> ListedEnd {
    ListedEnd { number, run: run_of(index), kind: EndKind::Done }
}

/// Answers the renewals until one that was sent after the starts has been answered.
fn answer_lists(agent: &mut AgentFixture, answer: &ServerAnswer) {
    for _ in 0..3 {
        agent.answer_renewals_with(answer);
        agent.advance(std::time::Duration::from_millis(15));
    }
}

fn ended_runs(agent: &AgentFixture) -> Vec<TaskRun> {
    let ends = agent.updates.iter().filter_map(|update| match update {
        RunUpdate::Ended { run, kind: EndKind::Done, .. } => Some(run.clone()),
        _ => None,
    });
    ends.collect()
}

// A run that only the odd row shows would be started again elsewhere.
#[test]
fn unlisted_runs_kept() {
    let mut agent = started_agent();
    let answer = ServerAnswer::PartialLists { running: vec![run_of(0)], ended: vec![end(1, 1)] };
    answer_lists(&mut agent, &answer);
    assert_eq!(agent.updates.len(), 1, "{:?}", agent.updates);
    assert_eq!(ended_runs(&agent), [run_of(1)]);
    let answer = ServerAnswer::Lists { running: vec![run_of(0)], ended: vec![end(1, 1)] };
    answer_lists(&mut agent, &answer);
    assert_eq!(agent.updates.len(), 2, "a complete list shows that the run is over");
}

// An end far beyond the others barred every later one, and acknowledged them unseen.
#[test]
fn high_end_skipped() {
    let mut agent = started_agent();
    let ended = vec![end(1, 0), end(1 << 50, 1)];
    let running = vec![run_of(1), run_of(2)];
    answer_lists(&mut agent, &ServerAnswer::Lists { running, ended });
    let ended = vec![end(2, 2)];
    answer_lists(&mut agent, &ServerAnswer::Lists { running: vec![run_of(1)], ended });
    assert_eq!(ended_runs(&agent), [run_of(0), run_of(2)]);
    let renewal = agent.take_call(crate::agent_fixture::is_renewal).expect("a renewal is due");
    assert_matches!(renewal.request, model::ServerRequest::RenewLease { acked: 2, .. });
}

// Rows out of order: the lower numbers were taken for known ones.
#[test]
fn unordered_ends_taken() {
    let mut agent = started_agent();
    let ended = vec![end(3, 0), end(1, 1), end(2, 2)];
    answer_lists(&mut agent, &ServerAnswer::Lists { running: Vec::new(), ended });
    let mut runs = ended_runs(&agent);
    runs.sort_by_key(|run| run.task.index);
    assert_eq!(runs, [run_of(0), run_of(1), run_of(2)]);
}

fn odd_column() -> impl Strategy<Value = Value> {
    prop_oneof![
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        (0_u64..100).prop_map(Value::from),
        Just(json!(TASK)),
        Just(json!("done")),
        Just(Value::Null),
        Just(json!([[[]]])),
        "[ -~]{0,12}".prop_map(Value::from),
    ]
}

fn odd_list() -> impl Strategy<Value = Vec<Vec<Value>>> {
    prop::collection::vec(prop::collection::vec(odd_column(), 0..6), 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: case_count(256),
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Any rows, in any order: the agent goes on, and takes the ends of its own runs.
    #[test]
    fn odd_rows_survived(running in odd_list(), ended in odd_list()) {
        let mut agent = started_agent();
        let body = json!({ "running": running, "ended": ended }).to_string();
        if let Ok(ServerReply { answer, clock, .. }) = read_reply(200, body.as_bytes()) {
            prop_assert_eq!(clock, None);
            answer_lists(&mut agent, &answer);
        }
        agent.advance(std::time::Duration::from_millis(200));
        prop_assert!(agent.pending_renewals() > 0, "the lease is still renewed");
    }
}
