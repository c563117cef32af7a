//! Starts a small deployment: control hosts, entries, and agents with a minion each, every
//! process on a loopback address of its own, with the commands of the deploy file and the
//! settings of its templates.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::minion::{Minion, Shape};
use crate::record::Record;

const PEER_PORT: u16 = 7_100;
const OPERATOR_PORT: u16 = 8_166;
const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const APP_PORT: u16 = 8_360;
/// Time between the starts of two minions, so that their heartbeats are spread.
const START_INTERVAL: Duration = Duration::from_millis(190);
pub const SERVICE: &str = "wax-orders";

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

/// Makes this process end with the one that started it.
fn set_parent_death_signal() -> std::io::Result<()> {
    // SAFETY: the call has no pointers.
    match unsafe { prctl(PARENT_DEATH_SIGNAL, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// A signal, with its number on Linux.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Continue = 18,
    Stop = 19,
}

/// One process of the system, which can be killed and started again.
pub struct Process {
    name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self, record: &Record) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("the log can be shared");
        let mut command = Command::new("target/release/cactuswing");
        // SAFETY: the call between fork and exec only sets a number of the new process.
        unsafe { command.pre_exec(|| set_parent_death_signal()) };
        let child = command
            .args([self.role, "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the binary was built");
        record.write(&format!("{} starts", self.name));
        self.child = Some(child);
    }

    fn signal(&self, record: &Record, signal: Signal) {
        let Some(child) = &self.child else { return };
        // SAFETY: the process was started here and was not waited for, so its id is not reused.
        let sent = unsafe { kill(child.id() as i32, signal as i32) };
        assert_eq!(sent, 0, "the process was started here");
        record.write(&format!("{} gets {signal:?}", self.name));
    }

    fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process was started here");
            record.write(&format!("{} is killed", self.name));
            let _status = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

/// Labels of each minion.
pub struct Deployment<'a> {
    pub controls: usize,
    pub entries: usize,
    pub minions: &'a [&'a [&'a str]],
    pub cpu_milli: u64,
}

/// A running deployment. Its processes end with it.
pub struct System {
    pub record: Record,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub minions: Vec<Minion>,
    network: [u8; 2],
    folder: PathBuf,
}

/// Number of the first host of each kind on the loopback network.
const CONTROL_HOSTS: u8 = 1;
const ENTRY_HOSTS: u8 = 11;
const AGENT_HOSTS: u8 = 21;

impl System {
    /// Starts all processes and minions.
    pub fn start(deployment: &Deployment<'_>, record: Record) -> System {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let mut system = System {
            record,
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            minions: Vec::new(),
            network: free_network(),
            folder,
        };
        let seeds: Vec<String> = (0..deployment.controls.min(3))
            .map(|number| format!("\"{}\"", system.operator_address(number)))
            .collect();
        let seeds = seeds.join(",");
        for number in 0..deployment.controls {
            let host = system.host(CONTROL_HOSTS, number);
            let data = system.folder.join(format!("control-{number}"));
            let settings = format!(
                "{{\"name\":\"control-{number}\",\"domain\":\"z{number}\",\
                 \"listen\":\"{host}:{PEER_PORT}\",\"data_folder\":\"{}\",\"seeds\":[{seeds}],\
                 \"seed_port\":{PEER_PORT},\"tolerated_losses\":{},\"found\":true,\
                 \"operators\":\"{host}:{OPERATOR_PORT}\",\"run_lease_ms\":1000,\
                 \"remote_factor\":1.5,\"election_ms\":400,\"snapshot_records\":10000}}",
                data.display(),
                (deployment.controls - 1) / 2
            );
            let process = system.process("control", number, &settings);
            system.controls.push(process);
        }
        for number in 0..deployment.entries {
            let host = system.host(ENTRY_HOSTS, number);
            let settings = format!(
                "{{\"name\":\"entry-{number}\",\"domain\":\"z{number}\",\
                 \"listen\":\"{host}:{PEER_PORT}\",\"controls\":[{seeds}],\
                 \"control_port\":{PEER_PORT},\"front\":{{\"listen\":\"{host}:{FRONT_PORT}\",\
                 \"ready\":\"{host}:{READY_PORT}\",\"run_lease_ms\":1000,\"remote_factor\":1.5,\
                 \"max_catalog_age_ms\":2000}},\"drain_limit_ms\":5000}}"
            );
            let process = system.process("entry", number, &settings);
            system.entries.push(process);
        }
        for (number, labels) in deployment.minions.iter().enumerate() {
            let host = system.host(AGENT_HOSTS, number);
            let settings = format!(
                "{{\"worker\":\"agent-{number}\",\"domain\":\"z{number}\",\"rack\":\"z{number}\",\
                 \"listen\":\"{host}:{PEER_PORT}\",\"announce_listen\":\"{host}:{OPERATOR_PORT}\",\
                 \"controls\":[{seeds}],\"control_port\":{PEER_PORT},\
                 \"server\":{{\"address\":\"{host}:{APP_PORT}\",\"lease_ms\":1000}},\
                 \"cores\":1,\"memory_mb\":1}}"
            );
            let process = system.process("agent", number, &settings);
            system.agents.push(process);
            let shape = Shape {
                name: format!("minion-{number}"),
                id: format!("i-{number:04x}"),
                service: SERVICE.to_owned(),
                zone: format!("z{number}"),
                labels: labels.iter().map(|label| (*label).to_owned()).collect(),
                cpu_milli: deployment.cpu_milli,
                app: SocketAddr::new(host, APP_PORT),
                control: SocketAddr::new(host, OPERATOR_PORT),
            };
            system.minions.push(Minion::start(shape, &system.record));
            std::thread::sleep(START_INTERVAL);
        }
        system
    }

    fn host(&self, first: u8, number: usize) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], first + number as u8])
    }

    fn operator_address(&self, control: usize) -> SocketAddr {
        SocketAddr::new(self.host(CONTROL_HOSTS, control), OPERATOR_PORT)
    }

    /// Where an entry takes clients' requests.
    pub fn front(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.host(ENTRY_HOSTS, entry), FRONT_PORT)
    }

    fn process(&self, role: &'static str, number: usize, settings: &str) -> Process {
        let name = format!("{role}-{number}");
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        let mut process = Process { name, role, settings: path, log, child: None };
        process.start(&self.record);
        process
    }

    /// Kills these processes at the same moment.
    pub fn kill_together(&mut self, entries: &[usize], agents: &[usize]) {
        for number in entries {
            self.entries[*number].kill(&self.record);
        }
        for number in agents {
            self.agents[*number].kill(&self.record);
        }
    }

    /// Starts these processes again.
    pub fn restart(&mut self, entries: &[usize], agents: &[usize]) {
        for number in entries {
            self.entries[*number].start(&self.record);
        }
        for number in agents {
            self.agents[*number].start(&self.record);
        }
    }

    /// Sends a signal to an agent.
    pub fn signal_agent(&self, number: usize, signal: Signal) {
        self.agents[number].signal(&self.record, signal);
    }

    /// Starts a minion that has crashed again, under the id that it had; returns the old one.
    pub fn restart_minion(&mut self, number: usize) -> Minion {
        let minion = self.minions[number].start_again();
        std::mem::replace(&mut self.minions[number], minion)
    }

    /// Kills a control host.
    pub fn kill_control(&mut self, number: usize) {
        self.controls[number].kill(&self.record);
    }

    /// Starts a control host again; it is no first start any more.
    pub fn restart_control(&mut self, number: usize) {
        let settings = &self.controls[number].settings;
        let text = std::fs::read_to_string(settings).expect("the settings were written");
        let text = text.replace("\"found\":true", "\"found\":false");
        std::fs::write(settings, text).expect("the settings can be written");
        self.controls[number].start(&self.record);
    }

    /// The control host that leads: it answers a read itself.
    pub fn leader(&self) -> Option<usize> {
        (0..self.controls.len()).find(|number| {
            let address = self.operator_address(*number);
            let timeout = Duration::from_secs(1);
            let read = http::call(address, "GET", "/cactuswing/config", &[], b"", timeout);
            read.is_ok_and(|response| response.status == 200)
        })
    }

    /// A call of the operator, who follows redirects twice and tries the control hosts in
    /// turn until one gives a clear answer.
    pub fn operate(&self, method: &str, body: &[u8], patience: Duration) -> Option<Response> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            for control in 0..self.controls.len() {
                let mut address = self.operator_address(control);
                for _hop in 0..3 {
                    let timeout = Duration::from_secs(1);
                    let sent =
                        http::call(address, method, "/cactuswing/config", &[], body, timeout);
                    let Ok(response) = sent else { break };
                    let target = response.location.as_deref().and_then(address_of);
                    match (response.status, target) {
                        (307, Some(target)) => address = target,
                        (500.., _) | (408 | 429, _) => break,
                        _ => return Some(response),
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Waits until an entry serves routes and has minions to run tasks on; `false` if that
    /// takes too long.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        (0..self.entries.len()).all(|entry| {
            loop {
                let address = SocketAddr::new(self.host(ENTRY_HOSTS, entry), READY_PORT);
                let timeout = Duration::from_millis(500);
                let probe = http::call(address, "GET", "/cactuswing/readiness", &[], b"", timeout);
                if probe.is_ok_and(|response| response.status == 200) {
                    return true;
                }
                if Instant::now() >= until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.entries).chain(&mut self.agents) {
            if let Some(mut child) = process.child.take() {
                let _killed = child.kill();
                let _status = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The address in a URL such as `http://127.0.0.1:8166/path`.
fn address_of(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// The middle bytes of a loopback network on which the ports of this case are free.
fn free_network() -> [u8; 2] {
    let id = std::process::id();
    for attempt in 0..200 {
        let network = [(id % 200 + 10) as u8, (id / 200 + attempt) as u8];
        let is_free = |host: u8, port: u16| {
            let ip = IpAddr::from([127, network[0], network[1], host]);
            TcpListener::bind(SocketAddr::new(ip, port)).is_ok()
        };
        let ports = [PEER_PORT, OPERATOR_PORT, FRONT_PORT, READY_PORT, APP_PORT];
        if (1..48).all(|host| ports.iter().all(|port| is_free(host, *port))) {
            return network;
        }
    }
    panic!("no loopback network with free ports was found");
}
