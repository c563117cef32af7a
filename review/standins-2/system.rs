//! A small deployment on loopback addresses: the project's programs as separate processes, with
//! the commands of the deploy file and the settings that its templates render.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::link::{Cut, start_link};
use crate::minion::{Minion, Shape};
use crate::record::Record;

const PEER_PORT: u16 = 7_720;
const FRONT_PORT: u16 = 8_161;
const CONTROL_PORT: u16 = 8_166;
const READY_PORT: u16 = 8_167;
const APP_PORT: u16 = 8_165;
pub const CONTROLS: usize = 3;
pub const SERVICE: &str = "wax-orders";
/// Host name of the callers' routes.
pub const HOST: &str = "nony24.example";
const BINARY: &str = "target/release/cactuswing";

/// A process of the system, by role and number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control(usize),
    Entry(usize),
    Agent(usize),
}

impl Role {
    fn word(self) -> &'static str {
        match self {
            Role::Control(_) => "control",
            Role::Entry(_) => "entry",
            Role::Agent(_) => "agent",
        }
    }

    fn number(self) -> usize {
        match self {
            Role::Control(number) | Role::Entry(number) | Role::Agent(number) => number,
        }
    }

    pub fn name(self) -> String {
        format!("{}-{}", self.word(), self.number())
    }

    /// The last byte of its address; always two digits.
    fn last_byte(self) -> u8 {
        let first = match self {
            Role::Control(_) => 11,
            Role::Entry(_) => 31,
            Role::Agent(_) => 61,
        };
        first + self.number() as u8
    }
}

/// What a deployment consists of.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub entries: usize,
    pub agents: usize,
    /// Capacity of each minion, in thousandths of a core.
    pub cpu: u64,
    /// Whether minions reject what does not fit.
    pub guards: bool,
    /// Whether agents reach control through links that can be cut.
    pub links: bool,
}

struct Process {
    role: Role,
    child: Option<Child>,
}

/// The processes of a deployment, which end with it, and its minions.
pub struct System {
    plan: Plan,
    network: [u8; 2],
    folder: PathBuf,
    processes: Vec<Process>,
    pub minions: Vec<Minion>,
    cuts: Vec<Cut>,
    record: Record,
    version: u64,
    /// End of the names of routes; another one makes them other routes at the same places.
    pub name_suffix: &'static str,
}

impl System {
    /// Starts all processes and minions for the first time.
    pub fn start(plan: Plan, record: &Record) -> System {
        let network = free_network();
        let folder = std::env::var("CASE_FOLDER").expect("run.sh sets CASE_FOLDER");
        let mut system = System {
            plan,
            network,
            folder: PathBuf::from(folder),
            processes: Vec::new(),
            minions: Vec::new(),
            cuts: Vec::new(),
            record: record.clone(),
            version: 0,
            name_suffix: "",
        };
        record.line(format!("network 127.{}.{}.0/24", network[0], network[1]));
        if plan.links {
            system.start_links();
        }
        let roles = (0..CONTROLS)
            .map(Role::Control)
            .chain((0..plan.agents).map(Role::Agent))
            .chain((0..plan.entries).map(Role::Entry));
        for role in roles {
            system.processes.push(Process { role, child: None });
            system.launch(role, true);
        }
        for agent in 0..plan.agents {
            let ip = system.ip(Role::Agent(agent));
            let shape = Shape {
                id: format!("i-{agent:04x}"),
                service: SERVICE.to_owned(),
                zone: format!("d{}", agent % 3),
                cpu: plan.cpu,
                address: (ip, APP_PORT).into(),
                agent: (ip, CONTROL_PORT).into(),
                guards: plan.guards,
                rack: rack_label(agent),
            };
            system.minions.push(Minion::start(shape, record));
        }
        system
    }

    fn address(&self, last_byte: u8, port: u16) -> SocketAddr {
        ([127, self.network[0], self.network[1], last_byte], port).into()
    }

    fn ip(&self, role: Role) -> IpAddr {
        self.address(role.last_byte(), 0).ip()
    }

    /// Last byte of the address at which an agent finds a control host behind its link.
    fn link_byte(agent: usize, control: usize) -> u8 {
        (71 + agent * CONTROLS + control) as u8
    }

    /// Starts a link from each agent to each control host.
    fn start_links(&mut self) {
        for agent in 0..self.plan.agents {
            let cut = Cut::default();
            let text = |byte: u8| self.address(byte, PEER_PORT).to_string().into_bytes();
            let bytes = (0..CONTROLS).map(|control| {
                (Role::Control(control).last_byte(), System::link_byte(agent, control))
            });
            let replace: Vec<_> =
                bytes.clone().map(|(own, link)| (text(own), text(link))).collect();
            for (own, link) in bytes {
                let listen = self.address(link, PEER_PORT);
                start_link(listen, self.address(own, PEER_PORT), &cut, &replace);
            }
            self.cuts.push(cut);
        }
    }

    /// Cuts an agent from all control hosts, or joins it again.
    pub fn set_cut(&self, agent: usize, is_cut: bool) {
        self.record.line(format!("agent-{agent} is cut from control: {is_cut}"));
        self.cuts[agent].set(is_cut);
    }

    /// The settings of a process: the template with its values.
    fn settings(&self, role: Role, bootstrap: bool) -> String {
        let template = std::fs::read_to_string(format!("deploy/{}.json", role.word()));
        let template = template.expect("the template is readable");
        let seed = |control: usize| {
            let byte = match role {
                Role::Agent(agent) if self.plan.links => System::link_byte(agent, control),
                _ => Role::Control(control).last_byte(),
            };
            format!("\"{}\"", self.address(byte, CONTROL_PORT))
        };
        let seeds: Vec<String> = (0..CONTROLS).map(seed).collect();
        let ip = self.ip(role);
        let values = [
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{node}}", role.name()),
            ("{{zone}}", format!("d{}", role.number() % 3)),
            ("{{ip}}", ip.to_string()),
            ("{{internal_ports.0}}", PEER_PORT.to_string()),
            ("{{listen.control}}", format!("{ip}:{CONTROL_PORT}")),
            ("{{listen.front}}", format!("{ip}:{FRONT_PORT}")),
            ("{{listen.ready}}", format!("{ip}:{READY_PORT}")),
            ("{{app}}", format!("{ip}:{APP_PORT}")),
            (
                "{{data_dir}}",
                self.folder.join(format!("data-{}", role.number())).display().to_string(),
            ),
            ("{{tolerate.machines}}", "1".to_owned()),
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

    fn launch(&mut self, role: Role, bootstrap: bool) {
        let path = self.folder.join(format!("{}.json", role.name()));
        std::fs::write(&path, self.settings(role, bootstrap)).expect("settings are written");
        let log = self.folder.join(format!("{}.log", role.name()));
        let open = || -> File {
            let log = OpenOptions::new().create(true).append(true).open(&log);
            log.expect("the log can be written")
        };
        let child = Command::new(BINARY)
            .args([role.word(), "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn()
            .expect("the program starts");
        let pids = OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        let _noted = pids.and_then(|mut pids| {
            std::io::Write::write_all(&mut pids, format!("{}\n", child.id()).as_bytes())
        });
        self.process(role).child = Some(child);
        self.record.line(format!("{} started", role.name()));
    }

    fn process(&mut self, role: Role) -> &mut Process {
        let process = self.processes.iter_mut().find(|process| process.role == role);
        process.expect("the process is part of the system")
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, role: Role) {
        if let Some(mut child) = self.process(role).child.take() {
            let _killed = (child.kill(), child.wait());
            self.record.line(format!("{} killed", role.name()));
        }
    }

    /// Starts a process again that has ended.
    pub fn restart(&mut self, role: Role) {
        self.launch(role, false);
    }

    /// Sends a signal by its name to a process.
    pub fn signal(&mut self, role: Role, name: &str) {
        if let Some(child) = &self.process(role).child {
            let id = child.id().to_string();
            let _sent = Command::new("kill").args(["-s", name, &id]).status();
            self.record.line(format!("{} gets SIG{name}", role.name()));
        }
    }

    /// Waits until the configuration is acknowledged, all entries are ready and all minions
    /// have registered.
    pub fn await_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = (0..self.plan.entries).all(|entry| {
                let address = self.address(Role::Entry(entry).last_byte(), READY_PORT);
                let path = "/cactuswing/readiness";
                let timeout = Duration::from_millis(500);
                let probe = http::call(address, "GET", path, "ready", &[], "", timeout);
                probe.is_ok_and(|response| response.status == 200)
            });
            if ready {
                // Agents connect to the entries, and minions have registered by then.
                std::thread::sleep(Duration::from_secs(4));
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a configuration until it is acknowledged; `false` if it is not in time. A route is
    /// a path prefix with its `timeout_ms`.
    pub fn put_config(&mut self, routes: &[(&str, u64)], limit: Duration) -> bool {
        self.version += 3;
        let rows: Vec<String> = routes
            .iter()
            .map(|(prefix, timeout_ms)| {
                format!(
                    "{{\"name\":\"r{}{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                     \"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"goal_ms\":60,\"priority\":0,\
                     \"service\":\"{SERVICE}\",\"max_attempts\":4,\"stretch\":1.6}}",
                    prefix.replace('/', "-"),
                    self.name_suffix
                )
            })
            .collect();
        let body = format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"enforce_capacity\":{},\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            self.version,
            rows.join(","),
            self.plan.guards
        );
        let until = Instant::now() + limit;
        let mut control = 0;
        let mut target = self.address(Role::Control(0).last_byte(), CONTROL_PORT);
        let mut redirects = 0;
        while Instant::now() < until {
            let timeout = Duration::from_secs(1);
            let sent = http::call(target, "PUT", "/cactuswing/config", "op", &[], &body, timeout);
            let location = sent.as_ref().ok().filter(|answer| answer.status == 307);
            let location = location.and_then(|answer| redirect_target(answer));
            let words = match &sent {
                Ok(answer) => answer.status.to_string(),
                Err(error) => error.to_string(),
            };
            self.record.line(format!("operator put version {} at {target}: {words}", self.version));
            if sent.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            if let Some(location) = location.filter(|_| redirects < 2) {
                (target, redirects) = (location, redirects + 1);
                continue;
            }
            (control, redirects) = ((control + 1) % CONTROLS, 0);
            target = self.address(Role::Control(control).last_byte(), CONTROL_PORT);
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Where a caller reaches an entry.
    pub fn front(&self, entry: usize) -> SocketAddr {
        self.address(Role::Entry(entry).last_byte(), FRONT_PORT)
    }

    /// All runs on all minions so far, by their starts.
    pub fn runs(&self) -> Vec<crate::minion::Run> {
        let mut runs: Vec<_> = self.minions.iter().flat_map(Minion::runs).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ended = (child.kill(), child.wait());
            }
        }
    }
}

/// Label of the rack of a machine beside a minion; three to a rack.
pub fn rack_label(agent: usize) -> String {
    format!("r1-{}", agent / 3)
}

/// A call of a client at an entry, with its answer in the record.
pub fn client_call(
    record: &Record,
    front: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let deadline = [("Cactuswing-Deadline-Ms", timeout.as_millis().to_string())];
    let first = body.get(..120).unwrap_or(body);
    record.line(format!("client {method} {path} at {front} {first}"));
    let answer = http::call(front, method, path, HOST, &deadline, body, timeout);
    let words = match &answer {
        Ok(answer) => format!("{} {}", answer.status, answer.body),
        Err(error) => error.to_string(),
    };
    record.line(format!("client {method} {path}: {words}"));
    answer.ok()
}

/// The address in a redirect such as `http://127.0.0.1:8166/path`.
fn redirect_target(answer: &Response) -> Option<SocketAddr> {
    let location = answer.location.as_ref()?;
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// The middle bytes of a loopback network in which the ports are free.
fn free_network() -> [u8; 2] {
    let id = std::process::id();
    let networks =
        (0..200).map(|attempt| [(id % 90 + 110) as u8, (100 + (id / 90 + attempt) % 150) as u8]);
    let is_free = |network: &[u8; 2]| {
        let address = SocketAddr::from(([127, network[0], network[1], 11], PEER_PORT));
        TcpListener::bind(address).is_ok()
    };
    networks.into_iter().find(is_free).expect("a loopback network is free")
}
