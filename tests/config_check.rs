//! The check of a configuration before it is sent, by the decisions, by the adapter and by
//! the command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use assert_matches::assert_matches;
use decisions::config_check::{
    CatalogFault, CatalogPlace, CatalogWarning, CheckedLimits, QueueField, QueueReach, TextWarning,
    catalog_faults, catalog_warnings, queue_reach, text_warnings,
};
use decisions::entry::QueueRoutes;
use model::{
    CatalogDraft, ConfigFinding, FindingSeverity, ProcessLimits, QueueCatalog, QueueRule,
    RequestLimits, ResourceAmount, ServiceServers,
};
use platform::{CatalogContext, CheckedCatalog, check_catalog, read_catalog};
use proptest::prelude::*;
use serde_json::{Value, json};
use standin::{Caller, StandinHost};

use crate::queue_path::{ControlSetup, QueueSystem, RPC_PORT, StubRuns};
use crate::schedule_model::catalog;
use crate::support::small_config;

/// Election timeout of the control host. A host that takes longer to store its vote starts the
/// next election instead; with 100 ms none succeeded in 30 s beside builds.
const ELECTION_MS: u64 = 1_500;

/// A draft with queues at these hosts and path prefixes, named by their position.
fn draft(places: &[(&str, &str)]) -> CatalogDraft {
    let QueueCatalog { queues, services, .. } = (*catalog(7)).clone();
    let rule = queues[0].clone();
    let queue = |(position, (host, prefix)): (usize, &(&str, &str))| {
        let rule =
            QueueRule { host: (*host).into(), path_prefix: (*prefix).into(), ..rule.clone() };
        (format!("r-{position}").into(), rule)
    };
    CatalogDraft {
        version: 7,
        queues: places.iter().enumerate().map(queue).collect(),
        services: services.into_iter().take(1).collect(),
        body_limit_bytes: 1_000,
        request_limits: RequestLimits::default(),
        document: String::new(),
    }
}

fn checked_limits() -> CheckedLimits {
    CheckedLimits {
        held_bytes: 1_000_000,
        default_header_bytes: 16_384,
        highest_header_bytes: 24_576,
        head_overhead_bytes: 41,
        reply_margin: Duration::from_millis(25),
        version_in_force: None,
        servers: None,
    }
}

/// The warnings about a draft of one queue with this rule.
fn rule_warnings(change: impl Fn(&mut QueueRule)) -> Vec<(CatalogPlace, CatalogWarning)> {
    let mut draft = draft(&[("a.example", "/x/")]);
    change(&mut draft.queues[0].1);
    catalog_warnings(&draft, &checked_limits())
}

/// A configuration that has nothing to report.
fn sound_config() -> Value {
    json!({ "version": 7,
        "routes": [
            { "name": "r-1", "host": "a.example", "path_prefix": "/x/", "timeout_ms": 1_500,
              "goal_ms": 60, "service": "s", "max_attempts": 4, "stretch": 1.6 },
            { "name": "r-2", "host": "a.example", "path_prefix": "/y/", "timeout_ms": 1_500,
              "goal_ms": 60, "service": "s", "priority": 1 }],
        "services": [{ "name": "s", "enforce_capacity": true }],
        "limits": { "max_body_bytes": 262_144 } })
}

fn check(config: &Value) -> CheckedCatalog {
    check_catalog(config.to_string().as_bytes(), &CatalogContext::default())
}

fn places(findings: &[ConfigFinding], severity: FindingSeverity) -> Vec<&str> {
    let of_severity = findings.iter().filter(|finding| finding.severity == severity);
    of_severity.map(|finding| finding.place.as_str()).collect()
}

// Guards against warnings about configurations that work, which operators would learn to
// ignore.
#[test]
fn sound_config_passes() {
    let checked = check(&sound_config());
    assert_eq!(checked.findings, []);
    assert_eq!(checked.catalog, read_catalog(sound_config().to_string()).ok());
}

// Guards against a check that stops at the first fault: each one then costs a round.
#[test]
fn every_fault_listed() {
    let mut config = sound_config();
    config["routes"][0]["service"] = json!("none");
    config["routes"][0]["timeout_ms"] = json!(0);
    config["routes"][1]["name"] = json!("r-1");
    config["routes"][1]["host"] = json!("A.example");
    config["routes"][1]["path_prefix"] = json!("/x/");
    config["routes"][1]["stretch"] = json!(-1.5);
    config["routes"][1]["goal_ms"] = json!(u64::MAX);
    config["services"] = json!([{ "name": "s" }, { "name": "s" }]);
    let checked = check(&config);
    let expected = [
        "$.services[1].name",
        "$.routes[0].service",
        "$.routes[0].timeout_ms",
        "$.routes[1].name",
        "$.routes[1].path_prefix",
        "$.routes[1].stretch",
        "$.routes[1].goal_ms",
    ];
    assert_eq!(places(&checked.findings, FindingSeverity::Error), expected);
    assert_eq!(checked.catalog, None);
    assert!(checked.changes.is_empty());
}

// Guards against a check that passes what control refuses, refuses what it takes, or words it
// in another way.
#[test]
fn same_as_control() {
    let edits: [(&str, &str); 9] = [
        ("\"service\":\"s\"", "\"service\":\"none\""),
        ("\"timeout_ms\":1500", "\"timeout_ms\":0"),
        ("\"name\":\"r-2\"", "\"name\":\"r-1\""),
        ("\"path_prefix\":\"/y/\"", "\"path_prefix\":\"/x/\""),
        ("\"stretch\":1.6", "\"stretch\":-1"),
        ("\"goal_ms\":60", "\"goal_ms\":18446744073709551615"),
        ("\"timeout_ms\":1500", "\"timeout_ms\":\"1500\""),
        ("\"routes\":[", "\"routes\":[7,"),
        ("\"services\":", "\"services\" "),
    ];
    let sound = sound_config().to_string();
    for (from, to) in edits {
        let document = sound.replace(from, to);
        assert_ne!(document, sound, "{from}");
        let refused = read_catalog(&document).expect_err(to);
        let checked = check_catalog(document.as_bytes(), &CatalogContext::default());
        let first = checked.findings.first().expect(to);
        assert_eq!(*first, ConfigFinding::error(refused.path(), refused.to_string()));
    }
    for document in [vec![b' '; 8 * 1024 * 1024 + 1], b"{\"version\":7,\xff}".to_vec()] {
        let refused = read_catalog(&document).expect_err("too long, or no text");
        let checked = check_catalog(&document, &CatalogContext::default());
        let expected = ConfigFinding::error(refused.path(), refused.to_string());
        assert_eq!(checked.findings, [expected]);
    }
}

// An error without its location sends the operator through the whole document.
#[test]
fn errors_located() {
    let sound = sound_config().to_string();
    for (from, to, place) in [
        ("\"timeout_ms\":1500", "\"timeout_ms\":\"1500\"", "$.routes[0].timeout_ms"),
        ("\"name\":\"r-1\",", "", "$.routes[0]"),
        ("\"max_body_bytes\":262144", "\"max_body_bytes\":-1", "$.limits.max_body_bytes"),
        ("\"version\":7", "\"version\":7.5", "$.version"),
        ("{\"limits\"", "{,\"limits\"", "line 1 column 2"),
    ] {
        let document = sound.replacen(from, to, 1);
        assert_ne!(document, sound, "{from}");
        let checked = check_catalog(document.as_bytes(), &CatalogContext::default());
        assert_eq!(places(&checked.findings, FindingSeverity::Error), [place], "{to}");
    }
    let text = format!("{sound}x");
    let trailing = check_catalog(text.as_bytes(), &CatalogContext::default());
    let place = format!("line 1 column {}", text.len());
    assert_eq!(places(&trailing.findings, FindingSeverity::Error), [place]);
}

// Guards against a warning that turns into a refusal, at the check or at control.
#[test]
fn warnings_change_nothing() {
    let mut config = sound_config();
    config["version"] = json!(0);
    config["routes"][0]["host"] = json!("a.example:80");
    config["routes"][0]["max_attempts"] = json!(0);
    config["routes"][1]["path_prefix"] = json!("y/");
    config["routes"][1]["timeout_ms"] = json!(20);
    config["services"] = json!([{ "name": "s" }, { "name": "unused" }]);
    config["limits"] = json!({ "max_body_bytes": 1u64 << 40, "max_header_bytes": 65_536 });
    let checked = check(&config);
    let expected = [
        "$.version",
        "$.routes[0].host",
        "$.routes[0].max_attempts",
        "$.routes[1].path_prefix",
        "$.routes[1].timeout_ms",
        "$.routes[1].timeout_ms",
        "$.services[1].name",
        "$.limits.max_body_bytes",
        "$.limits.max_header_bytes",
    ];
    assert_eq!(places(&checked.findings, FindingSeverity::Warning), expected);
    assert_eq!(places(&checked.findings, FindingSeverity::Error), Vec::<&str>::new());
    assert_eq!(checked.catalog, read_catalog(config.to_string()).ok());
    assert!(checked.catalog.is_some());
}

// A queue that no request reaches gets its callers 404, with a configuration that looks right.
#[test]
fn unreachable_queues_named() {
    let reach = |host, prefix| queue_reach(&draft(&[(host, prefix)])).remove(0);
    for host in ["a.example:80", "*.example", "a b", "a\u{fc}.example", "::1", "[::1]:80", "a/b"] {
        assert_eq!(reach(host, "/x/"), QueueReach::BadHost, "{host}");
    }
    for host in ["a.example", "A_b-1", "127.0.0.1", "[::1]", ""] {
        assert_eq!(reach(host, "/x/"), QueueReach::Full, "{host}");
    }
    for prefix in ["x/", "http://a.example/x/", "/x?y=", "/x#", "/x y/", "/x\n"] {
        assert_eq!(reach("a.example", prefix), QueueReach::BadPrefix, "{prefix}");
    }
    assert_eq!(reach("a.example", ""), QueueReach::NoJobPath);
    assert_eq!(reach("a.example", "/"), QueueReach::Full);
}

// Guards against a longer prefix that silently takes jobs of another queue, and against a
// warning about prefixes that take none.
#[test]
fn shadowed_prefixes_named() {
    let all_digits = "0123456789abcdefABCDEF".chars();
    let longer: Vec<String> = all_digits.map(|digit| format!("/x/{digit}")).collect();
    let mut places = vec![("a.example", "/x/")];
    places.extend(longer.iter().map(|prefix| ("A.example", prefix.as_str())));
    assert_eq!(queue_reach(&draft(&places))[0], QueueReach::Shadowed);
    let routes = QueueRoutes::new(&draft(&places).into());
    for prefix in &longer {
        let path = format!("{prefix}123456789abcdef");
        let taken_by = routes.find("a.example", &path).map(|found| found.queue.as_str());
        assert_ne!(taken_by, Some("r-0"), "{path}");
    }
    // One digit is left.
    places.remove(3);
    assert_matches!(&queue_reach(&draft(&places))[0], QueueReach::PartlyShadowed { by, digits }
        if by == "r-1" && digits == "0");
    let apart = [
        ("a.example", "/x/"),
        ("a.example", "/x/jobs/"),
        ("b.example", "/x/a"),
        ("a.example", "/x/01234567890123456"),
    ];
    assert_eq!(queue_reach(&draft(&apart)), vec![QueueReach::Full; 4]);
}

/// Short prefixes and hosts, so that many of them contain each other.
fn any_places() -> impl Strategy<Value = Vec<(String, String)>> {
    let host = prop::sample::select(vec!["a.example", "A.Example", "b.example", "a.example:80"]);
    let prefix = "(/|x|)(x/|)[0-2aA]{0,2}/?";
    prop::collection::vec((host.prop_map(str::to_owned), prefix), 1..8)
}

proptest! {
    // Guards against a claim about queues that contradicts the routing at entries.
    #[test]
    fn reach_agrees_with_routing(places in any_places(), id in "[0-2aA]{2}[0-9a-f]{14}") {
        let places: Vec<(&str, &str)> =
            places.iter().map(|(host, prefix)| (host.as_str(), prefix.as_str())).collect();
        let draft = draft(&places);
        let is_valid = catalog_faults(&draft).is_empty();
        prop_assume!(is_valid);
        let routes = QueueRoutes::new(&draft.clone().into());
        for (reach, (queue, rule)) in queue_reach(&draft).iter().zip(&draft.queues) {
            let path = format!("{}{id}", rule.path_prefix);
            // A path begins with a slash, and a request's host may carry a port.
            let found = Some(&path).filter(|path| path.starts_with('/'));
            let found = found.and_then(|path| routes.find(&rule.host, path));
            let is_taken = found.is_some_and(|found| found.queue == queue && found.path_suffix == id);
            match reach {
                QueueReach::Full => prop_assert!(is_taken, "{queue} {path}"),
                QueueReach::PartlyShadowed { digits, .. } => {
                    prop_assert!(!is_taken || !id.starts_with(digits.as_str()), "{queue} {path}");
                }
                _ => prop_assert!(!is_taken, "{queue} {path}"),
            }
        }
    }
}

// Limits that each are valid, and together leave a queue without use.
#[test]
fn contradictory_limits_named() {
    let warnings = rule_warnings(|rule| rule.timeout_ms = 59);
    assert_matches!(
        &warnings[..],
        [
            (
                CatalogPlace::Queue(0, QueueField::Timeout),
                CatalogWarning::TimeoutBelowObjective { timeout_ms: 59, base_objective_ms: 60, .. }
            ),
            (_, CatalogWarning::ManyAttempts { attempts: 50, fitting: 34, .. }),
        ]
    );
    let warnings = rule_warnings(|rule| (rule.timeout_ms, rule.base_objective_ms) = (25, 10));
    assert_matches!(&warnings[..], [(_, CatalogWarning::NoTimeToRun { timeout_ms: 25, .. })]);
    let warnings = rule_warnings(|rule| {
        (rule.critical_path_factor, rule.base_objective_ms) = (0.9, 0);
    });
    assert_matches!(&warnings[..], [(_, CatalogWarning::ShortObjective { .. })]);
    let warnings = rule_warnings(|rule| rule.max_attempts = 0);
    assert_matches!(&warnings[..], [(_, CatalogWarning::NoAttempts { .. })]);
    let warnings = rule_warnings(|rule| rule.path_prefix = format!("/{:0>20000}/", 0).into());
    assert_matches!(&warnings[..], [(_, CatalogWarning::LongHead { limit: 16_384, .. })]);
}

// Guards against warnings about values at the limit, and about those that operators use for
// "no limit".
#[test]
fn fitting_limits_pass() {
    let changes: [fn(&mut QueueRule); 5] = [
        |rule| rule.timeout_ms = 75,
        |rule| (rule.timeout_ms, rule.max_attempts) = (60, 35),
        |rule| rule.max_attempts = u32::MAX,
        |rule| rule.timeout_ms = u64::MAX,
        |rule| rule.critical_path_factor = 0.0,
    ];
    for (number, change) in changes.iter().enumerate() {
        assert_eq!(rule_warnings(change), [], "change {number}");
    }
}

// A body that no entry has room for is refused with 503, again at each resubmission.
#[test]
fn large_bodies_named() {
    let mut config = sound_config();
    config["limits"]["max_body_bytes"] = json!(25_165_825);
    let small = ProcessLimits { memory_mb: 120, ..ProcessLimits::default() };
    for (process, expected) in [(small, 1), (ProcessLimits::default(), 0)] {
        let context = CatalogContext { process, ..CatalogContext::default() };
        let checked = check_catalog(config.to_string().as_bytes(), &context);
        let found = places(&checked.findings, FindingSeverity::Warning);
        assert_eq!(found, vec!["$.limits.max_body_bytes"; expected]);
    }
    config["limits"]["max_body_bytes"] = json!(0);
    assert_eq!(check(&config).findings.len(), 1);
}

// A queue whose service has no backend server, or only such without capacity, takes jobs that
// never run.
#[test]
fn unserved_queues_named() {
    let draft = draft(&[("a.example", "/x/")]);
    let service = draft.services[0].0.clone();
    let warnings = |servers: Option<Vec<(usize, u64)>>| {
        let server = |(servers, cpu_milli)| ServiceServers {
            service: service.clone(),
            servers,
            highest: ResourceAmount { cpu_milli, ..ResourceAmount::default() },
        };
        let servers = servers.map(|servers| servers.into_iter().map(server).collect());
        catalog_warnings(&draft, &CheckedLimits { servers, ..checked_limits() })
    };
    assert_eq!(warnings(None), []);
    assert_eq!(warnings(Some(vec![(2, 4_000)])), []);
    assert_matches!(
        &warnings(Some(vec![]))[..],
        [(
            CatalogPlace::Queue(0, QueueField::Service),
            CatalogWarning::NoServer { servers: 0, .. }
        )]
    );
    assert_matches!(
        &warnings(Some(vec![(2, 0)]))[..],
        [(_, CatalogWarning::NoServer { servers: 2, .. })]
    );
}

// Guards against faults that are reported at control in another order than before: the first
// one is its answer.
#[test]
fn first_fault_kept() {
    let mut draft = draft(&[("a.example", "/x/"), ("a.example", "/x/")]);
    draft.queues[0].1.timeout_ms = 0;
    let faults = catalog_faults(&draft);
    assert_matches!(
        &faults[..],
        [
            (CatalogPlace::Queue(0, QueueField::Timeout), CatalogFault::ZeroTimeout { .. }),
            (CatalogPlace::Queue(1, QueueField::PathPrefix), CatalogFault::DuplicateRoute { .. }),
        ]
    );
}

/// The lines of what differs between the sound configuration and a changed one.
fn changes_to(config: &Value) -> CheckedCatalog {
    let in_force = read_catalog(sound_config().to_string()).ok();
    let context = CatalogContext { in_force, ..CatalogContext::default() };
    check_catalog(config.to_string().as_bytes(), &context)
}

// Guards against a change that is sent without being seen.
#[test]
fn changes_listed() {
    let mut config = sound_config();
    config["version"] = json!(8);
    config["routes"][0] = json!({ "name": "r-3", "host": "a.example", "path_prefix": "/z/",
        "timeout_ms": 1_500, "service": "t" });
    config["routes"][1]["timeout_ms"] = json!(2_000);
    config["routes"][1]["service"] = json!("t");
    config["services"] = json!([{ "name": "s" }, { "name": "t" }]);
    config["limits"] = json!({ "max_body_bytes": 1_000, "idle_timeout_ms": 5_000 });
    assert_eq!(
        changes_to(&config).changes,
        [
            "~ $.version: 7 -> 8",
            "- route r-1",
            "+ $.routes[0]: route r-3 at a.example/z/",
            "~ $.routes[1].service: s -> t",
            "~ $.routes[1].timeout_ms: 1500 -> 2000",
            "~ $.services[0].enforce_capacity: true -> false",
            "+ $.services[1]: service t",
            "~ $.limits.max_body_bytes: 262144 -> 1000",
            "~ $.limits.idle_timeout_ms: not set -> 5000",
        ]
    );
    assert!(changes_to(&sound_config()).changes.is_empty());
}

// Control acknowledges a version that is not higher, and ignores it.
#[test]
fn old_versions_named() {
    let mut config = sound_config();
    config["routes"][0]["kind"] = json!("unsafe");
    for (version, expected) in [(6, 1), (7, 1), (8, 0)] {
        config["version"] = json!(version);
        let found = changes_to(&config).findings;
        let found = places(&found, FindingSeverity::Warning);
        assert_eq!(found, vec!["$.version"; expected], "version {version}");
    }
    config["version"] = json!(7);
    let only_unused = ["~ only order, spelling or fields that no decision uses"];
    assert_eq!(changes_to(&config).changes, only_unused);
    assert_eq!(changes_to(&sound_config()).findings, []);
}

// Entries of an operators' text that have no effect, or that contradict each other.
#[test]
fn text_contradictions_named() {
    let mut text = small_config();
    assert_eq!(text_warnings(&text), []);
    let (service, other) = ("order", "stock");
    text.services[service].depends_on = vec![other.into(), other.into()];
    text.services[service].declared_ms = 20_000;
    text.balance.slowdown_weight = 0.0;
    text.balance.waste_weight = 0.0;
    text.drained_workers = vec!["w-1".into(), "w-2".into(), "w-1".into()];
    assert_matches!(
        &text_warnings(&text)[..],
        [
            TextWarning::RepeatedDependency { position: 1, .. },
            TextWarning::LongDeclared { .. },
            TextWarning::NoWeights,
            TextWarning::RepeatedWorker { position: 2, .. },
        ]
    );
}

/// A folder of files to check; it is removed at the end.
struct CheckFolder(PathBuf);

impl CheckFolder {
    fn new(name: &str) -> CheckFolder {
        CheckFolder::within(&std::env::temp_dir(), name)
    }

    /// A folder in memory, where the system has one: a disk that others keep busy delays
    /// the journal of a control host, and no test here is about durability.
    fn in_memory(name: &str) -> CheckFolder {
        let memory = PathBuf::from("/dev/shm");
        let parent = if memory.is_dir() { memory } else { std::env::temp_dir() };
        CheckFolder::within(&parent, name)
    }

    fn within(parent: &Path, name: &str) -> CheckFolder {
        let folder = parent.join(format!("cactuswing-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder is created");
        CheckFolder(folder)
    }

    fn write(&self, name: &str, content: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, content).expect("the file is written");
        path.to_str().expect("the path is text").to_owned()
    }
}

impl Drop for CheckFolder {
    fn drop(&mut self) {
        // Best-effort cleanup: nothing needs the files after a run.
        let _removed = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs `cactuswing check` with these arguments.
fn run_check(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cactuswing"));
    command.arg("check").args(arguments).output().expect("the program runs")
}

fn report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("the report is JSON")
}

// Scripts rely on the exit code: errors are bad input, warnings are none.
#[test]
fn exit_codes_kept() {
    let folder = CheckFolder::new("check-codes");
    let sound = folder.write("sound.json", &sound_config().to_string());
    let mut config = sound_config();
    config["services"] = json!([{ "name": "s" }, { "name": "unused" }]);
    let odd = folder.write("odd.json", &config.to_string());
    config["routes"][0]["timeout_ms"] = json!(0);
    let bad = folder.write("bad.json", &config.to_string());
    let broken = folder.write("broken.json", "{\"version\": 7, \"routes\": [");
    let text = include_str!("../examples/roubikov.json");
    let bad_text = folder.write("bad_text.json", &text.replace("15000", "0"));
    let text = folder.write("text.json", text);
    let missing = format!("{sound}.none");
    for (arguments, code) in [
        (vec![sound.as_str()], 0),
        (vec![&odd], 0),
        (vec![&bad], 2),
        (vec![&broken], 2),
        (vec![&text], 0),
        (vec![&bad_text], 2),
        (vec![&missing], 2),
        (vec![&sound, "--against", &missing], 2),
        (vec![&sound, "--against", &bad], 2),
        (vec![&text, "--against", &bad_text], 2),
        (vec![&sound, "--against", &odd], 0),
        (vec![&text, "--against", &text], 0),
        (vec![&odd, "--memory-mb", "1"], 2),
    ] {
        let output = run_check(&arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?} {output:?}");
    }
}

// The two forms of the output say the same, each finding with its place.
#[test]
fn findings_printed() {
    let folder = CheckFolder::new("check-output");
    let mut config = sound_config();
    config["version"] = json!(8);
    config["services"] = json!([{ "name": "s" }, { "name": "unused" }]);
    let file = folder.write("new.json", &config.to_string());
    let before = folder.write("old.json", &sound_config().to_string());
    let output = run_check(&[&file, "--against", &before]);
    let errors = String::from_utf8_lossy(&output.stderr);
    let warning = "$.services[1].name: warning: no route refers to service unused";
    assert_eq!(errors, format!("{file}: {warning}\n"));
    let lines = String::from_utf8_lossy(&output.stdout);
    let expected = [
        "~ $.version: 7 -> 8".to_owned(),
        "~ $.services[0].enforce_capacity: true -> false".to_owned(),
        "+ $.services[1]: service unused".to_owned(),
        format!("{file}: no errors, 1 warning"),
    ];
    assert_eq!(lines.lines().collect::<Vec<_>>(), expected);
    let report = report(&run_check(&[&file, "--against", &before, "--json"]));
    let message = "no route refers to service unused";
    let finding =
        json!({ "severity": "warning", "place": "$.services[1].name", "message": message });
    assert_eq!(
        report,
        json!({ "kind": "queues", "findings": [finding],
        "against": { "version": 7, "changes": expected[..3] } })
    );
}

// Errors of an operators' text are those of `apply`, all of them.
#[test]
fn text_errors_printed() {
    let folder = CheckFolder::new("check-text");
    let text = include_str!("../examples/roubikov.json");
    let bad = text.replace("15000", "0").replacen('{', "{ \"version\": 7,", 1);
    let file = folder.write("text.json", &bad);
    let output = run_check(&[&file, "--json"]);
    let report = report(&output);
    assert_eq!(report["kind"], "text");
    let findings = report["findings"].as_array().expect("a list of findings");
    let expected = model::read_operator_config(&bad).expect_err("two errors");
    assert_eq!(expected.len(), 2);
    let pairs = expected.iter().map(|error| (json!(error.path), json!(error.expected)));
    let found = findings.iter().map(|found| (found["place"].clone(), found["message"].clone()));
    assert_eq!(found.collect::<Vec<_>>(), pairs.collect::<Vec<_>>());
}

/// The changes and the places of warnings against a control host.
fn against(file: &str, control: SocketAddr) -> (Value, Vec<String>) {
    let output = run_check(&[file, "--json", "--against", &control.to_string()]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let report = report(&output);
    let findings = report["findings"].as_array().expect("a list of findings").iter();
    let places = findings.map(|finding| finding["place"].as_str().unwrap_or_default().to_owned());
    (report["against"].clone(), places.collect())
}

// Guards against a comparison with anything else than what control has committed, and against
// a service without a backend server that goes unnoticed.
#[test]
fn control_compared() {
    let host = StandinHost::start().expect("runtime starts");
    let folder = CheckFolder::in_memory("check-control");
    let file = folder.write("new.json", &sound_config().to_string());
    let text = folder.write("text.json", include_str!("../examples/roubikov.json"));
    let data_folder = folder.0.join("control");
    let control = ControlSetup { data_folder, election_ms: ELECTION_MS };
    let system = QueueSystem::start_control(control, 6, StubRuns::Done, 5_000);
    let control = SocketAddr::new(system.operators.ip(), RPC_PORT);
    host.block_on(async {
        let read = async || {
            Caller::new()
                .call("GET", system.operators, "/cactuswing/config", &[], String::new())
                .await
                .ok()
        };
        // 503 as long as there is no configuration; a leader then says so.
        system.retry_until(503, read).await;
    });
    let mut old = sound_config();
    old["version"] = json!(6);
    old["routes"][0]["timeout_ms"] = json!(1_000);
    host.block_on(async {
        system.retry_until(200, async || system.put("/cactuswing/config", &old).await).await;
    });
    let (comparison, places) = against(&file, control);
    let changes = ["~ $.version: 6 -> 7", "~ $.routes[0].timeout_ms: 1000 -> 1500"];
    assert_eq!(comparison, json!({ "version": 6, "changes": changes }));
    assert_eq!(places, ["$.routes[0].service", "$.routes[1].service"]);
    assert_eq!(
        against(&text, control).0,
        json!({ "version": null, "changes": ["+ the first text"] })
    );
    host.block_on(async {
        system.retry_until(200, async || system.send_heartbeat().await).await;
    });
    // The agent tells control of its server once it is connected.
    let is_known = (0..100).any(|_| {
        let (_, places) = against(&file, control);
        places.is_empty() || {
            std::thread::sleep(Duration::from_millis(50));
            false
        }
    });
    assert!(is_known, "control knows the backend server");
    system.stop();
    let lost = run_check(&[&file, "--against", &control.to_string()]);
    assert_eq!(lost.status.code(), Some(1), "{lost:?}");
}
