//! Monthly figures: nothing counted twice, closed months stay.

use decisions::control::FigureBook;
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

fn submitted(book: &FigureBook, month: &str) -> u64 {
    book.month(&month.into()).rows.iter().map(|row| row.submitted).sum()
}

#[test]
fn counted_once() {
    let mut book = FigureBook::default();
    book.add(1, &increment(1, 1, "2026-11"));
    book.add(2, &increment(1, 1, "2026-11"));
    book.add(3, &increment(1, 2, "2026-11"));
    book.add(4, &increment(2, 1, "2026-11"));
    assert_eq!(submitted(&book, "2026-11"), 9);
    let row = &book.month(&"2026-11".into()).rows[0];
    assert_eq!((row.slowdown[&100], row.refused["overloaded"]), (3, 3));
}

#[test]
fn closed_month_stays() {
    const DAY_MS: u64 = 24 * 3_600 * 1_000;
    let mut book = FigureBook::default();
    book.add(1, &increment(1, 1, "2026-11"));
    book.add(2, &increment(1, 2, "2026-12"));
    book.add(DAY_MS, &increment(1, 3, "2026-11"));
    assert_eq!(submitted(&book, "2026-11"), 6, "late figures of a month that is still open");
    book.add(3 * DAY_MS, &increment(1, 4, "2026-11"));
    assert_eq!(submitted(&book, "2026-11"), 6, "a closed month does not change");
    assert_eq!(submitted(&book, "2026-12"), 6, "what came too late counts in the open month");
    assert!(book.month(&"2026-11".into()).closed);
    assert!(!book.month(&"2026-12".into()).closed);
}
