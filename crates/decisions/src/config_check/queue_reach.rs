//! Which requests can reach a queue, given the hosts and path prefixes of all queues.
//!
//! A job's path is the prefix followed by its id, of 16 hexadecimal digits; of the matching
//! prefixes, the longest wins (see `entry::QueueRoutes`).

use std::collections::BTreeMap;
use std::ops::Bound;

use compact_str::CompactString;
use indexmap::IndexMap;
use model::{CatalogDraft, QueueId};

/// Length of a job id, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;
/// The characters of job ids, in both letter cases.
const JOB_ID_ALPHABET: &str = "0123456789abcdefABCDEF";

/// Which requests of callers reach a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueReach {
    /// Those that its host and path prefix name.
    Full,
    /// None: no request has this host name.
    BadHost,
    /// None: no request has a path with this prefix.
    BadPrefix,
    /// None that names a job: job ids follow the prefix without a slash between them.
    NoJobPath,
    /// None that names a job: queues with longer prefixes take all ids.
    Shadowed,
    /// All but those for jobs whose ids begin with some digits, which another queue takes.
    PartlyShadowed {
        /// The first of these queues, by prefix.
        by: QueueId,
        /// The digits.
        digits: CompactString,
    },
}

/// Prefixes of the queues of one host, in lexical order.
type HostPrefixes<'a> = BTreeMap<&'a str, &'a QueueId>;

/// The reach of every queue, in the order of the document.
pub fn queue_reach(draft: &CatalogDraft) -> Vec<QueueReach> {
    let mut hosts: IndexMap<CompactString, HostPrefixes<'_>> = IndexMap::new();
    for (name, rule) in &draft.queues {
        let prefixes = hosts.entry(rule.host.to_ascii_lowercase()).or_default();
        prefixes.entry(rule.path_prefix.as_str()).or_insert(name);
    }
    let reach = |host: &CompactString, prefix: &str| {
        if !is_request_host(host) {
            return QueueReach::BadHost;
        }
        match prefix.chars().next() {
            None => return QueueReach::NoJobPath,
            Some('/') if prefix.chars().all(is_path_char) => {}
            Some(_) => return QueueReach::BadPrefix,
        }
        prefix_reach(&hosts[&host.to_ascii_lowercase()], prefix)
    };
    draft.queues.iter().map(|(_, rule)| reach(&rule.host, &rule.path_prefix)).collect()
}

/// Whether a request can name this host. The port is cut off before hosts are compared, and
/// an address of IP version 6 is in brackets.
fn is_request_host(host: &str) -> bool {
    let name = match host.strip_prefix('[').and_then(|rest| rest.split_once(']')) {
        Some((address, "")) => return address.parse::<std::net::Ipv6Addr>().is_ok(),
        _ => host,
    };
    name.chars().all(|letter| letter.is_ascii_alphanumeric() || "-._".contains(letter))
}

/// Whether the path of a request can contain the character. Characters that clients should
/// encode count as possible where an entry takes them as they are.
fn is_path_char(letter: char) -> bool {
    !matches!(letter, ' ' | '#' | '?') && !letter.is_ascii_control()
}

fn prefix_reach(prefixes: &HostPrefixes<'_>, prefix: &str) -> QueueReach {
    if takes_all_ids(prefixes, prefix, JOB_ID_DIGITS) {
        return QueueReach::Shadowed;
    }
    let is_id_start = |digits: &str| {
        digits.len() <= JOB_ID_DIGITS && digits.chars().all(|digit| digit.is_ascii_hexdigit())
    };
    let mut longer = longer_prefixes(prefixes, prefix);
    match longer.find(|(other, _)| is_id_start(&other[prefix.len()..])) {
        Some((other, by)) => {
            QueueReach::PartlyShadowed { by: by.clone(), digits: other[prefix.len()..].into() }
        }
        None => QueueReach::Full,
    }
}

/// The prefixes that begin with `start` and go on after it.
fn longer_prefixes<'a>(
    prefixes: &'a HostPrefixes<'_>,
    start: &str,
) -> impl Iterator<Item = (&'a str, &'a QueueId)> {
    let range = (Bound::Excluded(start), Bound::Unbounded);
    let following = prefixes.range::<str, _>(range);
    following
        .take_while(move |(prefix, _)| prefix.starts_with(start))
        .map(|(prefix, queue)| (*prefix, *queue))
}

/// Whether a longer prefix takes each path of `start` and so many digits. Only digits with
/// which some prefix begins are followed, so that the work is bounded by the prefixes' length.
fn takes_all_ids(prefixes: &HostPrefixes<'_>, start: &str, digits: usize) -> bool {
    if digits == 0 || longer_prefixes(prefixes, start).next().is_none() {
        return false;
    }
    JOB_ID_ALPHABET.chars().all(|digit| {
        let longer = format!("{start}{digit}");
        prefixes.contains_key(longer.as_str()) || takes_all_ids(prefixes, &longer, digits - 1)
    })
}
