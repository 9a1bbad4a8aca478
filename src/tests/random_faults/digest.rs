//! A digest of the transactions, commands and cloud calls that leaders and delegates send, in their serialized (wire)
//! form. Versions of the code that make the same decisions have the same digest, even if the Rust names of types and
//! fields differ.

use std::hash::{DefaultHasher, Hasher};

use serde::Serialize;

use super::*;

#[derive(Default)]
pub(super) struct TraceDigest {
    hasher: DefaultHasher,
}

impl TraceDigest {
    /// Adds a line. The label is part of the digest: another label changes the digests of all seeds.
    fn record(&mut self, label: &str, now: f64, fencing_token: u64, content: &impl Serialize) {
        let content = serde_json::to_string(content).unwrap();
        let line = format!("{label} {now:?} {fencing_token} {content}\n");
        self.hasher.write(line.as_bytes());
    }

    pub(super) fn transaction(&mut self, now: f64, fencing_token: u64, txn: &Txn) {
        self.record("transaction", now, fencing_token, txn);
    }

    pub(super) fn direct(
        &mut self,
        now: f64,
        fencing_token: u64,
        machine: &str,
        direct_commands: &DirectCommands,
    ) {
        let content = (
            machine,
            direct_commands.addr,
            direct_commands.agent_epoch,
            &direct_commands.commands,
        );
        self.record("direct", now, fencing_token, &content);
    }

    pub(super) fn reply(
        &mut self,
        now: f64,
        fencing_token: u64,
        machine: &str,
        commands: &[Command],
    ) {
        self.record("answer", now, fencing_token, &(machine, commands));
    }

    pub(super) fn cloud_call(&mut self, now: f64, fencing_token: u64, call: &CloudCall) {
        match call {
            CloudCall::MachineTypes => self.record("types", now, fencing_token, &()),
            CloudCall::List { after } => self.record("list", now, fencing_token, after),
            CloudCall::Rent(rent, _) => self.record("rent", now, fencing_token, rent),
            CloudCall::Delete(names) => self.record("delete", now, fencing_token, names),
        }
    }

    pub(super) fn finish(&self) -> u64 {
        self.hasher.finish()
    }
}
