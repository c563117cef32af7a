//! Reads the processor time of each duty of this process from `/proc`. The name of
//! a thread identifies its duty; threads of the same name are summed.

use indexmap::IndexMap;

/// Unit of the times in `/proc` on Linux (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields after the thread's name; the system
/// time follows it.
const USER_TIME_INDEX: usize = 11;

/// Seconds of processor time by duty; empty where `/proc` is missing.
pub fn duty_seconds() -> IndexMap<String, f64> {
    let mut seconds = IndexMap::new();
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return seconds };
    for thread in threads.flatten() {
        let Ok(stat) = std::fs::read_to_string(thread.path().join("stat")) else { continue };
        if let Some((name, used)) = parse_thread_stat(&stat) {
            *seconds.entry(name).or_default() += used;
        }
    }
    seconds.sort_unstable_keys();
    seconds
}

/// Parses `/proc/self/task/<tid>/stat` into the thread's name and its processor
/// time in seconds.
fn parse_thread_stat(stat: &str) -> Option<(String, f64)> {
    let (head, tail) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    let fields: Vec<&str> = tail.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_INDEX)?.parse().ok()?;
    let system: f64 = fields.get(USER_TIME_INDEX + 1)?.parse().ok()?;
    Some((name.to_owned(), (user + system) / TICKS_PER_SECOND))
}

/// Seconds of processor time by duty between two readings.
pub fn used_between(
    before: &IndexMap<String, f64>,
    after: &IndexMap<String, f64>,
) -> IndexMap<String, f64> {
    let earlier = |name: &String| before.get(name).copied().unwrap_or(0.0);
    after.iter().map(|(name, used)| (name.clone(), used - earlier(name))).collect()
}
