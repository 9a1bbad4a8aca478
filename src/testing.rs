//! What several tests share.

use crate::wire::{Kind, MachineType, MachineTypes, Priority, Submission};

/// Two machine types.
pub fn types() -> Vec<MachineType> {
    let text = r#"{"Rigs":[
        {"Name":"small","Cores":8,"Gpus":0,"MemoryGb":32,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":0.8,"SpotPrice":0.2,"ReadyS":30,"Yards":["north","south"]},
        {"Name":"big","Cores":64,"Gpus":0,"MemoryGb":256,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":8.0,"SpotPrice":2.0,"ReadyS":30,"Yards":["north"]}]}"#;
    serde_json::from_str::<MachineTypes>(text).unwrap().types
}

/// An array of `tasks` small tasks.
pub fn job(id: &str, tasks: u32) -> Submission {
    Submission {
        id: id.into(),
        class: "sums".into(),
        team: "blue".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 30.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}
