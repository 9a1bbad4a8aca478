//! The machine types that the cloud offers: read from the cloud once, and stored for all controllers.

use std::rc::Rc;

use rand::RngExt;
use serde_json::value::to_raw_value;

use crate::autoscaler::{CloudAnswer, CloudCall};
use crate::controller::Controller;
use crate::protocol::store::{Change, Condition, Txn};
use crate::store::keys;
use crate::store::transaction::TxnOutcome;

/// Maximum pause between two attempts to load the machine types, in heartbeat intervals of the workers, before jitter
/// shortens it.
const ATTEMPT_PAUSE_HEARTBEATS: f64 = 0.25;

impl Controller {
    /// Requests the machine types from the cloud until they are known: without them no job is accepted and no leader
    /// elected.
    pub(crate) async fn load_machine_types(self: Rc<Self>) {
        let pause_s =
            self.config.deployment.workers.heartbeat_interval_s * ATTEMPT_PAUSE_HEARTBEATS;
        loop {
            let jitter = rand::rng().random_range(0.1..1.0);
            self.runtime.sleep(pause_s * jitter).await;
            if !self.replication.is_loaded.get() {
                continue;
            }
            if self.replication.replica.borrow().machine_types.is_some() {
                return;
            }
            if let CloudAnswer::MachineTypes(types) =
                self.cloud.call(&CloudCall::MachineTypes).await
                && let Ok(value) = to_raw_value(&types)
            {
                let bytes_max = self.config.deployment.state.value_kb * 1024.0;
                let is_storable = value.get().len() as f64 <= bytes_max;
                let txn = machine_types_creation(value);
                if !is_storable || self.write_for_user(&txn).await == TxnOutcome::Rejected {
                    // The types are too large to be stored, so each controller requests them itself.
                    self.replication.replica.borrow_mut().machine_types = Some(Rc::new(types));
                    return;
                }
                let _ = self.read_barrier().await;
            }
        }
    }
}

/// The transaction that creates the record of the machine types, unless another controller has created it.
fn machine_types_creation(value: Box<serde_json::value::RawValue>) -> Txn {
    Txn {
        conditions: vec![Condition {
            key: keys::machine_types(),
            revision: 0,
        }],
        changes: vec![Change::Put {
            key: keys::machine_types(),
            value,
            lease: None,
        }],
    }
}
