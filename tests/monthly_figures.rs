//! Monthly figures: each increment is counted once, also when an entry sends it again,
//! and a closed month no longer changes when an increment arrives late.

use decisions::control::FigureStore;
use model::{FigureIncrement, FigureRow};

fn increment(incarnation: u64, sequence: u64, month: &str) -> FigureIncrement {
    let row = FigureRow {
        service: "order".into(),
        team: "north".into(),
        submitted: 3,
        completed: 2,
        refused: [("overloaded".into(), 1)].into(),
        slowdown: [(100, 1), (120, 1)].into(),
        ..FigureRow::default()
    };
    FigureIncrement {
        entry: "e".into(),
        incarnation,
        sequence,
        month: month.into(),
        rows: vec![row],
    }
}

fn submitted(store: &FigureStore, month: &str) -> u64 {
    store.month(&month.into()).rows.iter().map(|row| row.submitted).sum()
}

#[test]
fn increments_counted_once() {
    let mut store = FigureStore::default();
    store.add(1, &increment(1, 1, "2026-11"));
    store.add(2, &increment(1, 1, "2026-11"));
    store.add(3, &increment(1, 2, "2026-11"));
    store.add(4, &increment(2, 1, "2026-11"));
    assert_eq!(submitted(&store, "2026-11"), 9);
    let row = &store.month(&"2026-11".into()).rows[0];
    assert_eq!((row.slowdown[&100], row.refused["overloaded"]), (3, 3));
}

#[test]
fn closed_month_unchanged() {
    const DAY_MS: u64 = 24 * 3_600 * 1_000;
    let mut store = FigureStore::default();
    store.add(1, &increment(1, 1, "2026-11"));
    store.add(2, &increment(1, 2, "2026-12"));
    // A month closes two days after a later month is first known.
    store.add(DAY_MS, &increment(1, 3, "2026-11"));
    assert_eq!(submitted(&store, "2026-11"), 6, "late figures count in a month that is still open");
    store.add(3 * DAY_MS, &increment(1, 4, "2026-11"));
    assert_eq!(submitted(&store, "2026-11"), 6, "a closed month does not change");
    assert_eq!(
        submitted(&store, "2026-12"),
        6,
        "figures of a closed month count in the open month"
    );
    assert!(store.month(&"2026-11".into()).closed);
    assert!(!store.month(&"2026-12".into()).closed);
}
