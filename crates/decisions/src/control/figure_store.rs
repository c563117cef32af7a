//! Replicated monthly figures per service and team.
//!
//! Invariants:
//! - an increment is added at most once, even if it is delivered repeatedly;
//! - increments of one incarnation of an entry are added in sequence order;
//! - a closed month does not change; a later increment is added to the latest
//!   month instead.

use compact_str::CompactString;
use indexmap::IndexMap;
use model::{FigureIncrement, FigureRow, Incarnation, MonthFigures, NodeId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// Version of the definitions of the figures; must grow when a definition changes.
const DEFINITIONS_VERSION: u32 = 1;
/// Time for which a month still accepts increments once a later month is known, in
/// milliseconds.
const MONTH_CLOSING_DELAY_MS: u64 = 2 * 24 * 3_600 * 1_000;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct MonthRecord {
    #[serde(with = "indexmap::map::serde_seq")]
    rows: IndexMap<(ServiceId, TeamId), FigureRow>,
    /// Time at which a later month was first known, in milliseconds since 1970.
    #[serde(rename = "followed_ms")]
    successor_known_ms: Option<u64>,
}

impl MonthRecord {
    fn is_closed(&self, at_ms: u64) -> bool {
        self.successor_known_ms.is_some_and(|known_ms| at_ms >= known_ms + MONTH_CLOSING_DELAY_MS)
    }
}

/// Figures by month, and the sequence number of the last increment added from
/// each entry incarnation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FigureStore {
    months: IndexMap<CompactString, MonthRecord>,
    #[serde(with = "indexmap::map::serde_seq")]
    added: IndexMap<(NodeId, Incarnation), u64>,
    /// Latest time of a record, in milliseconds since 1970.
    latest_ms: u64,
}

impl FigureStore {
    /// Adds an increment, unless its sequence number shows that it was added before.
    /// `at_ms` is the time of its record, in milliseconds since 1970.
    pub fn add(&mut self, at_ms: u64, increment: &FigureIncrement) {
        self.latest_ms = self.latest_ms.max(at_ms);
        let source = (increment.entry.clone(), increment.incarnation);
        let added = self.added.entry(source).or_default();
        if increment.sequence <= *added {
            return;
        }
        *added = increment.sequence;
        let month = self.open_month(at_ms, &increment.month);
        for row in &increment.rows {
            let key = (row.service.clone(), row.team.clone());
            add_row(month.rows.entry(key).or_default(), row);
        }
    }

    /// The record of `month`, or of the latest month if `month` is closed.
    fn open_month(&mut self, at_ms: u64, month: &CompactString) -> &mut MonthRecord {
        if !self.months.contains_key(month) {
            self.months.insert(month.clone(), MonthRecord::default());
            self.months.sort_unstable_keys();
            self.set_successor_known(at_ms);
        }
        let closed = self.months.get(month).is_some_and(|record| record.is_closed(at_ms));
        let latest = self.months.keys().next_back().cloned().unwrap_or_default();
        let target = if closed { latest } else { month.clone() };
        self.months.entry(target).or_default()
    }

    /// Records the time at which a later month was first known, for all months but
    /// the latest.
    fn set_successor_known(&mut self, at_ms: u64) {
        let last = self.months.len().saturating_sub(1);
        for record in self.months.values_mut().take(last) {
            record.successor_known_ms.get_or_insert(at_ms);
        }
    }

    /// Figures of one month; without rows if the month is unknown.
    pub fn month(&self, month: &CompactString) -> MonthFigures {
        let record = self.months.get(month);
        MonthFigures {
            month: month.clone(),
            definitions: DEFINITIONS_VERSION,
            closed: record.is_some_and(|record| record.is_closed(self.latest_ms)),
            rows: record.map(|record| record.rows.values().cloned().collect()).unwrap_or_default(),
        }
    }
}

fn add_row(total: &mut FigureRow, row: &FigureRow) {
    total.service = row.service.clone();
    total.team = row.team.clone();
    total.submitted += row.submitted;
    total.completed += row.completed;
    total.tasks += row.tasks;
    total.wasted += row.wasted;
    add_counts(&mut total.failed, &row.failed);
    add_counts(&mut total.refused, &row.refused);
    add_counts(&mut total.slowdown, &row.slowdown);
}

fn add_counts<K: Clone + Eq + std::hash::Hash>(
    total: &mut IndexMap<K, u64>,
    counts: &IndexMap<K, u64>,
) {
    for (key, count) in counts {
        *total.entry(key.clone()).or_default() += count;
    }
}
