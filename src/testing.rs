//! What several tests share.

use crate::wire::{MachineType, MachineTypes};

/// Two machine types.
pub fn types() -> Vec<MachineType> {
    let text = r#"{"Rigs":[
        {"Name":"small","Cores":8,"Gpus":0,"MemoryGb":32,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":0.8,"SpotPrice":0.2,"ReadyS":30,"Yards":["north","south"]},
        {"Name":"big","Cores":64,"Gpus":0,"MemoryGb":256,"CacheGb":50,"PullGbPerS":1.0,
         "Rate":8.0,"SpotPrice":2.0,"ReadyS":30,"Yards":["north"]}]}"#;
    serde_json::from_str::<MachineTypes>(text).unwrap().types
}
