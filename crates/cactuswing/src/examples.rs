//! Complete working files to start from, on loopback.

/// Settings of an entry.
pub const ENTRY: &str = r#"{
  "name": "entry-1",
  "domain": "north",
  "listen": "127.0.0.1:7001",
  "controls": ["127.0.0.1:7201"],
  "log": { "level": "info" }
}
"#;

/// Settings of an agent.
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

/// Settings of a control host that is a group of its own.
pub const CONTROL: &str = r#"{
  "name": "control-1",
  "domain": "north",
  "listen": "127.0.0.1:7201",
  "data_folder": "data/control-1",
  "group": [{ "name": "control-1", "address": "127.0.0.1:7201" }],
  "log": { "level": "info" }
}
"#;

/// An operators' text.
pub const TEXT: &str = include_str!("../../../examples/roubikov.json");
