//! Example files of a cluster on loopback, complete enough to run as they are.

/// Settings file of an entry.
pub const ENTRY: &str = r#"{
  "name": "entry-1",
  "domain": "north",
  "listen": "127.0.0.1:7001",
  "controls": ["127.0.0.1:7201"],
  "log": { "level": "info" }
}
"#;

/// Settings file of an agent.
pub const AGENT: &str = r#"{
  "worker": "worker-1",
  "domain": "north",
  "rack": "rack-1",
  "listen": "127.0.0.1:7101",
  "announce_listen": "127.0.0.1:7102",
  "controls": ["127.0.0.1:7201"],
  "cores": 16,
  "memory_mb": 32768,
  "log": { "level": "info" }
}
"#;

/// Settings file of a control host that forms a group of one.
pub const CONTROL: &str = r#"{
  "name": "control-1",
  "domain": "north",
  "listen": "127.0.0.1:7201",
  "data_folder": "data/control-1",
  "group": [{ "name": "control-1", "address": "127.0.0.1:7201" }],
  "log": { "level": "info" }
}
"#;

/// Operators' text: the configuration of services, teams and routing.
pub const TEXT: &str = include_str!("../../../examples/roubikov.json");
