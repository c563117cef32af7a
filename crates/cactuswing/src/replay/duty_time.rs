//! Owns the processor time that each duty of this process has used, read from
//! the operating system by the names of the duties' threads.

use indexmap::IndexMap;

/// Clock ticks in a second of `/proc` times on Linux.
const TICKS_A_SECOND: f64 = 100.0;
/// Position of the user time among the fields after the thread's name; the
/// system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Seconds of processor time by duty; empty where the system does not tell.
pub(super) fn duty_seconds() -> IndexMap<String, f64> {
    let mut seconds = IndexMap::new();
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return seconds };
    for thread in threads.flatten() {
        let Ok(stat) = std::fs::read_to_string(thread.path().join("stat")) else { continue };
        if let Some((name, used)) = read_stat(&stat) {
            *seconds.entry(name).or_default() += used;
        }
    }
    seconds.sort_unstable_keys();
    seconds
}

fn read_stat(stat: &str) -> Option<(String, f64)> {
    let (head, tail) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    let fields: Vec<&str> = tail.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(USER_TIME_FIELD + 1)?.parse().ok()?;
    Some((name.to_owned(), (user + system) / TICKS_A_SECOND))
}

/// What was used between two readings.
pub(super) fn used_between(
    before: &IndexMap<String, f64>,
    after: &IndexMap<String, f64>,
) -> IndexMap<String, f64> {
    let earlier = |name: &String| before.get(name).copied().unwrap_or(0.0);
    after.iter().map(|(name, used)| (name.clone(), used - earlier(name))).collect()
}
