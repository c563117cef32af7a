//! The size of a control group that forms from seeds, and the size that follows
//! from the tolerated losses. A group that stayed at the size of its seeds would
//! tolerate fewer losses than configured.

use model::read_control_settings;
use serde_json::json;
use standin::StandinHost;

use crate::seeded_group::SeededGroup;

#[test]
fn hosts_beyond_seeds_join() {
    let host = StandinHost::start().expect("runtime starts");
    let group = SeededGroup::start(3, 5, 3, 2);
    assert!(group.wait_for_size(&host, 5), "all five hosts are members");
}

#[test]
fn tolerated_losses_set_size() {
    let sizes = |seeds: usize, tolerated: Option<usize>| {
        let seeds: Vec<String> = (0..seeds).map(|n| format!("127.0.4.{}:7000", n + 1)).collect();
        let mut text = json!({
            "name": "host", "domain": "d", "listen": "127.0.4.1:7000", "data_folder": "d",
            "seeds": seeds,
        });
        if let Some(tolerated) = tolerated {
            text["tolerated_losses"] = json!(tolerated);
        }
        read_control_settings(&text.to_string()).expect("valid settings").target_hosts()
    };
    assert_eq!(sizes(3, Some(2)), Some(5));
    assert_eq!(sizes(3, Some(1)), Some(3));
    assert_eq!(sizes(3, None), Some(3));
    // A group that tolerates no loss keeps its initial size.
    assert_eq!(sizes(3, Some(0)), Some(3));
}
