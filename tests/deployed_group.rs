//! The programs as they are deployed: control hosts, entries and agents of the queued-job
//! path as child processes, with the settings that the templates in `deploy/` render, each on
//! a loopback address of its own. `CACTUSWING_BINARY` names another program to run.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use model::ProcessLimits;
use rustix::process::{Pid, Signal, kill_process};
use standin::{LeaseShape, RawResponse, raw_call};

const PEER_PORT: u16 = 7_100;
const FRONT_PORT: u16 = 8_161;
const CONTROL_PORT: u16 = 8_166;
const READY_PORT: u16 = 8_167;
const APP_PORT: u16 = 8_360;
/// Port on the last address of a network that a group holds while it uses the network.
const CLAIM_PORT: u16 = 7_999;
/// Time for a probe of readiness.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
pub(crate) const SERVICE: &str = "wax-orders";

/// A role and the number of the host that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RoleHost {
    Control(usize),
    Entry(usize),
    Agent(usize),
}

impl RoleHost {
    fn role(self) -> &'static str {
        match self {
            RoleHost::Control(_) => "control",
            RoleHost::Entry(_) => "entry",
            RoleHost::Agent(_) => "agent",
        }
    }

    fn number(self) -> usize {
        match self {
            RoleHost::Control(number) | RoleHost::Entry(number) | RoleHost::Agent(number) => number,
        }
    }

    fn name(self) -> String {
        format!("{}-{}", self.role(), self.number())
    }

    /// The last byte of its address.
    fn last_byte(self) -> u8 {
        let first = match self {
            RoleHost::Control(_) => 1,
            RoleHost::Entry(_) => 31,
            RoleHost::Agent(_) => 61,
        };
        first + self.number() as u8
    }
}

/// Limits of each process where a test sets none: more than it needs.
const USUAL_LIMITS: ProcessLimits = ProcessLimits { memory_mb: 512, max_fds: 16_384 };

struct DeployedProcess {
    host: RoleHost,
    child: Option<Child>,
}

/// The processes of a deployment; they end with it.
pub(crate) struct DeployedGroup {
    processes: Vec<DeployedProcess>,
    control_count: usize,
    entry_count: usize,
    network: [u8; 2],
    limits: ProcessLimits,
    _claim: TcpListener,
    folder: PathBuf,
    /// Whether the folder with logs and data stays.
    pub(crate) keeps_folder: bool,
}

fn folder_of(network: [u8; 2]) -> PathBuf {
    std::env::temp_dir().join(format!("cactuswing-deployed-{}-{}", network[0], network[1]))
}

/// The middle bytes of a loopback network that no other group uses and none has kept its
/// folder for, and the claim to it.
fn claim_network() -> ([u8; 2], TcpListener) {
    let id = std::process::id();
    let networks = (0..=255).map(|attempt| [(id % 200 + 20) as u8, (id / 200 + attempt) as u8]);
    let claim = |network: [u8; 2]| {
        if folder_of(network).exists() {
            return None;
        }
        let address = ([127, network[0], network[1], 254], CLAIM_PORT);
        TcpListener::bind(SocketAddr::from(address)).ok().map(|claim| (network, claim))
    };
    networks.into_iter().find_map(claim).expect("a loopback network is free")
}

impl DeployedGroup {
    /// Starts all processes for the first time.
    pub(crate) fn start(controls: usize, entries: usize, agents: usize) -> DeployedGroup {
        DeployedGroup::start_limited(controls, entries, agents, USUAL_LIMITS)
    }

    /// Starts all processes for the first time, each with these limits.
    pub(crate) fn start_limited(
        controls: usize,
        entries: usize,
        agents: usize,
        limits: ProcessLimits,
    ) -> DeployedGroup {
        let (network, claim) = claim_network();
        let folder = folder_of(network);
        std::fs::create_dir_all(&folder).expect("temporary folder is created");
        let hosts = (0..controls)
            .map(RoleHost::Control)
            .chain((0..agents).map(RoleHost::Agent))
            .chain((0..entries).map(RoleHost::Entry));
        let processes = hosts.map(|host| DeployedProcess { host, child: None }).collect();
        let mut group = DeployedGroup {
            processes,
            control_count: controls,
            entry_count: entries,
            network,
            limits,
            _claim: claim,
            folder,
            keeps_folder: false,
        };
        for position in 0..group.processes.len() {
            let host = group.processes[position].host;
            group.launch_as(host, true);
        }
        group
    }

    fn ip(&self, host: RoleHost) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], host.last_byte()])
    }

    /// Where a control host takes the operator's calls, or an agent announcements.
    pub(crate) fn control_address(&self, host: RoleHost) -> SocketAddr {
        (self.ip(host), CONTROL_PORT).into()
    }

    /// Where a control host or an entry takes connections of other processes.
    pub(crate) fn peer_address(&self, host: RoleHost) -> SocketAddr {
        (self.ip(host), PEER_PORT).into()
    }

    /// Where an entry takes callers' requests.
    pub(crate) fn front(&self, entry: usize) -> SocketAddr {
        (self.ip(RoleHost::Entry(entry)), FRONT_PORT).into()
    }

    /// Where an entry serves its readiness.
    pub(crate) fn ready_address(&self, entry: usize) -> SocketAddr {
        (self.ip(RoleHost::Entry(entry)), READY_PORT).into()
    }

    /// The id of a process; `None` if it has been killed or has ended.
    pub(crate) fn process_id(&mut self, host: RoleHost) -> Option<u32> {
        match self.has_ended(host) {
            true => None,
            false => self.process(host).child.as_ref().map(Child::id),
        }
    }

    pub(crate) fn folder(&self) -> &std::path::Path {
        &self.folder
    }

    /// The backend server beside an agent; the id differs from life to life where it must.
    pub(crate) fn server_shape(&self, agent: usize, id: String, cpu_milli: u64) -> LeaseShape {
        LeaseShape {
            id,
            service: SERVICE.to_owned(),
            domain: format!("d{}", agent % 3),
            cpu_milli,
            address: (self.ip(RoleHost::Agent(agent)), APP_PORT).into(),
            announce: self.control_address(RoleHost::Agent(agent)),
        }
    }

    /// The settings of a host: the template with its values.
    fn settings(&self, host: RoleHost, bootstrap: bool) -> String {
        let path = format!("{}/../../deploy/{}.json", env!("CARGO_MANIFEST_DIR"), host.role());
        let template = std::fs::read_to_string(path).expect("the template is readable");
        let seeds: Vec<String> = (0..self.control_count.min(3))
            .map(|number| format!("\"{}\"", self.control_address(RoleHost::Control(number))))
            .collect();
        let ip = self.ip(host);
        let data = self.folder.join(format!("data-{}", host.number()));
        let values = [
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{node}}", host.name()),
            ("{{zone}}", format!("d{}", host.number() % 3)),
            ("{{ip}}", ip.to_string()),
            ("{{internal_ports.0}}", PEER_PORT.to_string()),
            ("{{listen.control}}", format!("{ip}:{CONTROL_PORT}")),
            ("{{listen.front}}", format!("{ip}:{FRONT_PORT}")),
            ("{{listen.ready}}", format!("{ip}:{READY_PORT}")),
            ("{{app}}", format!("{ip}:{APP_PORT}")),
            ("{{data_dir}}", data.display().to_string()),
            ("{{tolerate.machines}}", ((self.control_count - 1) / 2).to_string()),
            ("{{bootstrap}}", bootstrap.to_string()),
            ("{{bounds.hold_max_ms}}", "1000".to_owned()),
            ("{{bounds.remote_factor}}", "1.5".to_owned()),
            ("{{bounds.config_ms}}", "2000".to_owned()),
        ];
        let settings =
            values.iter().fold(template, |text, (name, value)| text.replace(name, value));
        assert!(!settings.contains("{{"), "a value is missing: {settings}");
        settings
    }

    fn launch_as(&mut self, host: RoleHost, bootstrap: bool) {
        let path = self.folder.join(format!("{}.json", host.name()));
        std::fs::write(&path, self.settings(host, bootstrap)).expect("settings are written");
        let log = self.folder.join(format!("{}.log", host.name()));
        let open = || -> File {
            let log = OpenOptions::new().create(true).append(true).open(&log);
            log.expect("the log can be written")
        };
        let binary = std::env::var("CACTUSWING_BINARY");
        let binary = binary.unwrap_or_else(|_| env!("CARGO_BIN_EXE_cactuswing").to_owned());
        let child = Command::new(binary)
            .args([host.role(), "--settings"])
            .arg(&path)
            .args(["--memory-mb", &self.limits.memory_mb.to_string()])
            .args(["--max-fds", &self.limits.max_fds.to_string()])
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn()
            .expect("the binary starts");
        self.process(host).child = Some(child);
    }

    fn process(&mut self, host: RoleHost) -> &mut DeployedProcess {
        let process = self.processes.iter_mut().find(|process| process.host == host);
        process.expect("the host is part of the group")
    }

    /// Starts a process that has ended.
    pub(crate) fn restart(&mut self, host: RoleHost) {
        self.launch_as(host, false);
    }

    pub(crate) fn signal(&mut self, host: RoleHost, signal: Signal) {
        if let Some(child) = &self.process(host).child {
            kill_process(Pid::from_child(child), signal).expect("signal to a child process");
        }
    }

    /// Kills a process, if it runs, and reaps it.
    pub(crate) fn kill(&mut self, host: RoleHost) {
        if let Some(mut child) = self.process(host).child.take() {
            child.kill().expect("signal to a child process");
            child.wait().expect("the child is reaped");
        }
    }

    /// Whether a process that was started has ended; it is reaped then.
    pub(crate) fn has_ended(&mut self, host: RoleHost) -> bool {
        let process = self.process(host);
        let Some(child) = &mut process.child else { return false };
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended {
            process.child = None;
        }
        has_ended
    }

    /// Whether all entries say that they are ready.
    pub(crate) fn is_ready(&self) -> bool {
        (0..self.entry_count).all(|entry| {
            let address = self.ready_address(entry);
            let host = [("Host", "ready")];
            let path = "/cactuswing/readiness";
            let probe = raw_call(address, "GET", path, &host, b"", PROBE_TIMEOUT);
            probe.is_ok_and(|response| response.status == 200)
        })
    }
}

impl Drop for DeployedGroup {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                // The child may have exited by itself; either result is fine here.
                let _killed = child.kill();
                let _reaped = child.wait();
            }
        }
        if !self.keeps_folder {
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The address in a redirect such as `http://127.0.0.1:8166/path`.
pub(crate) fn redirect_target(response: &RawResponse) -> Option<SocketAddr> {
    let location = response.location.as_ref()?;
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
