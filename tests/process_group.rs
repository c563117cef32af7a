//! Runs the `cactuswing` binary as child processes on loopback: a group of
//! control hosts, agents and entries that a test starts, signals and restarts.
//! A process keeps its ports and its settings file across restarts, and is
//! signalled by its process id.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

use model::ProcessLimits;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

static NEXT_FOLDER_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A child process, the role it runs and its settings file.
pub(crate) struct Process {
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
    pub(crate) address: SocketAddr,
    pub(crate) announce: Option<SocketAddr>,
}

impl Process {
    fn start(role: &'static str, settings: PathBuf) -> Process {
        let mut process = Process {
            role,
            settings,
            child: None,
            address: ([127, 0, 0, 1], 0).into(),
            announce: None,
        };
        process.launch();
        process
    }

    /// Starts the process from its settings file; it must not be running.
    pub(crate) fn launch(&mut self) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cactuswing"))
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let output = child.stdout.take().expect("standard output is piped");
        let lines = BufReader::new(output).lines().map_while(Result::ok);
        let line = lines.into_iter().find(|line| line.starts_with("event=listening"));
        let line = line.expect("event=listening before the output ends");
        let field = |name: &str| {
            let value = line.split_whitespace().find_map(|pair| pair.strip_prefix(name));
            value.and_then(|value| value.parse().ok())
        };
        self.address = field("address=").unwrap_or_else(|| panic!("no address in {line:?}"));
        self.announce = field("announce=");
        self.child = Some(child);
        self.store_addresses();
    }

    /// Writes the bound addresses to the settings, so that a restarted process
    /// is reachable where its peers and callers expect it.
    fn store_addresses(&self) {
        let text = std::fs::read_to_string(&self.settings).expect("settings are readable");
        let mut settings: Value = serde_json::from_str(&text).expect("settings are JSON");
        settings["listen"] = json!(self.address);
        if let Some(announce) = self.announce {
            settings["announce_listen"] = json!(announce);
        }
        std::fs::write(&self.settings, settings.to_string()).expect("settings are written");
    }

    /// The process id; the process must be running.
    pub(crate) fn id(&self) -> u32 {
        self.child.as_ref().expect("the process is running").id()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process is running");
        let id = Pid::from_child(child);
        kill_process(id, signal).expect("signal to a child process");
    }

    /// Kills the process with SIGKILL, if it runs, and reaps it.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("signal to a child process");
            child.wait().expect("the child is reaped");
        }
    }

    /// Sends SIGTERM and waits until the process exits; returns its exit code.
    pub(crate) fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        let mut child = self.child.take().expect("the process is running");
        child.wait().expect("the child is reaped").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The child may have exited by itself; either result is fine here.
            let _killed = child.kill();
            let _reaped = child.wait();
        }
    }
}

/// A system of control hosts, agents and entries, each its own process, with
/// settings, logs and data in a temporary folder.
pub(crate) struct ProcessGroup {
    pub(crate) controls: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    pub(crate) control_addresses: Vec<SocketAddr>,
    limits: ProcessLimits,
    folder: PathBuf,
}

impl ProcessGroup {
    pub(crate) fn start(controls: usize, entries: usize, agents: usize) -> ProcessGroup {
        ProcessGroup::start_limited(controls, entries, agents, ProcessLimits::default())
    }

    /// The same with these limits of each entry and agent.
    pub(crate) fn start_limited(
        controls: usize,
        entries: usize,
        agents: usize,
        limits: ProcessLimits,
    ) -> ProcessGroup {
        let folder_number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("cactuswing-processes-{}-{folder_number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("temporary folder is created");
        let control_addresses = find_free_addresses(controls);
        let mut group = ProcessGroup {
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            control_addresses,
            limits,
            folder,
        };
        for number in 0..controls {
            let settings = group.control_settings(number);
            group.controls.push(group.launch("control", &format!("control-{number}"), &settings));
        }
        for number in 0..agents {
            let settings = group.agent_settings(number);
            group.agents.push(group.launch("agent", &format!("agent-{number}"), &settings));
        }
        for number in 0..entries {
            let settings = group.entry_settings(number);
            group.entries.push(group.launch("entry", &format!("entry-{number}"), &settings));
        }
        group
    }

    fn launch(&self, role: &'static str, name: &str, settings: &Value) -> Process {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings are written");
        Process::start(role, path)
    }

    fn log(&self, name: &str) -> Value {
        json!({ "level": "info", "file": self.folder.join(format!("{name}.log")) })
    }

    fn control_settings(&self, number: usize) -> Value {
        let peer = |(number, address): (usize, &SocketAddr)| json!({ "name": format!("control-{number}"), "address": address });
        let group: Vec<Value> = self.control_addresses.iter().enumerate().map(peer).collect();
        json!({
            "name": format!("control-{number}"),
            "domain": format!("d{number}"),
            "listen": self.control_addresses[number],
            "data_folder": self.folder.join(format!("data-{number}")),
            "group": group,
            "election_ms": 300,
            "lease_ms": 2_000,
            "log": self.log(&format!("control-{number}")),
        })
    }

    fn agent_settings(&self, number: usize) -> Value {
        json!({
            "worker": format!("worker-{number}"),
            "domain": format!("d{}", number % 3),
            "rack": "r",
            "listen": "127.0.0.1:0",
            "announce_listen": "127.0.0.1:0",
            "controls": self.control_addresses,
            "cores": 16,
            "memory_mb": 32_768,
            "limits": self.limits,
            "log": self.log(&format!("agent-{number}")),
        })
    }

    fn entry_settings(&self, number: usize) -> Value {
        json!({
            "name": format!("entry-{number}"),
            "domain": format!("d{}", number % 3),
            "listen": "127.0.0.1:0",
            "controls": self.control_addresses,
            "seed": number,
            "limits": self.limits,
            "log": self.log(&format!("entry-{number}")),
        })
    }

    /// Deletes the data folder of a control host; its process must have ended.
    pub(crate) fn delete_data(&self, number: usize) {
        let folder = self.folder.join(format!("data-{number}"));
        std::fs::remove_dir_all(folder).expect("data folder exists");
    }

    pub(crate) fn log_folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // Logs and data are kept only when the test fails.
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Loopback addresses whose ports are free at present. Control hosts need the
/// addresses of all members in their settings before any of them starts.
fn find_free_addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
    let listeners: Vec<std::net::TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("bound address")).collect()
}
