//! An operator sends a configuration with a byte that is not text: JSON is UTF-8, so it
//! can't be read in full and has to be refused.

use std::time::Duration;

use crate::Verdict;
use crate::client::{Route, config};
use crate::record::Record;
use crate::system::{Deployment, System};

const PATIENCE: Duration = Duration::from_secs(15);

pub fn run(record: Record, trouble: bool) -> Verdict {
    let deployment = Deployment { controls: 3, entries: 0, minions: &[], cpu_milli: 0 };
    let system = System::start(&deployment, record.clone());
    let first = Route { name: "r-3hwrr6x", prefix: "/lohu930/", timeout_ms: 1_500, goal_ms: 60 };
    let acked = system.operate("PUT", config(1, &[first]).as_bytes(), PATIENCE);
    if acked.is_none_or(|response| response.status != 200) {
        return Verdict::CouldNotRun("the first configuration was not acknowledged");
    }
    let second = Route { name: "r-3hwrr6x", prefix: "/lohu93X/", timeout_ms: 1_500, goal_ms: 60 };
    let mut sent = config(2, &[second]).into_bytes();
    let position = sent.iter().position(|byte| *byte == b'X').expect("the prefix has it");
    sent[position] = if trouble { 0xff } else { b'1' };
    record.write(&format!("operator sends version 2; byte {position} is {:#x}", sent[position]));
    let Some(answer) = system.operate("PUT", &sent, PATIENCE) else {
        return Verdict::CouldNotRun("version 2 was not answered");
    };
    record.write(&format!("operator gets {}", answer.status));
    let Some(read) = system.operate("GET", b"", PATIENCE) else {
        return Verdict::CouldNotRun("the configuration was not read back");
    };
    record.write(&format!("read back: {}", String::from_utf8_lossy(&read.body)));
    let is_acknowledged = answer.status == 200;
    if trouble && is_acknowledged {
        record.write("CONFIG: what is invalid was acknowledged");
        let same = if read.body == sent { "is" } else { "is not" };
        record.write(&format!("CONFIG: what is read back {same} what was sent"));
        return Verdict::Broken;
    }
    if !trouble && (!is_acknowledged || read.body != sent) {
        return Verdict::Broken;
    }
    Verdict::Held
}
