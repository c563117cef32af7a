//! Log lines as key=value pairs. Guards against values that a reader of the log would
//! split in the wrong place, and against summaries that the rate limit leaves out when
//! they matter most.

use std::sync::Arc;

use kernel::{SystemClock, bounded};
use model::{EventLine, EventLog, LineLevel, LogLine, ProcessCounters};

/// The line that is written for an event with these values.
fn written(line: EventLine) -> LogLine {
    let (sender, receiver) = bounded::<LogLine>(1);
    let log = EventLog::new(sender, Arc::new(SystemClock), ProcessCounters::default());
    log.summary(line);
    receiver.try_next().expect("a line is written")
}

#[test]
fn plain_values_unquoted() {
    let line = EventLine::new("start").with("run", "a.0.0.1#1").with("free_cpu_milli", 7_500);
    assert_eq!(written(line).text, "event=start run=a.0.0.1#1 free_cpu_milli=7500");
}

#[test]
fn ambiguous_values_quoted() {
    let line = EventLine::new("e")
        .with("space", "a b")
        .with("equals", "a=b")
        .with("quote", "a\"b")
        .with("empty", "")
        .with("break", "a\nb")
        .with("plain", "ab");
    let expected =
        r#"event=e space="a b" equals="a=b" quote="a\"b" empty="" break="a\nb" plain=ab"#;
    assert_eq!(written(line).text, expected);
}

#[test]
fn summaries_unlimited() {
    let level = written(EventLine::new("schedule_load")).level;
    assert!(level.is_unlimited());
    assert!(!LineLevel::Info.is_unlimited());
}
