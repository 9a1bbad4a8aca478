//! Simulates how a controller of the production version reads from the state service and writes to it.

use serde_json::value::RawValue;

use crate::http::Response;
use crate::protocol::store::Change;
use crate::tests::production;
use crate::tests::production::Read;

/// Removes the fields that the production version doesn't know from a value. Returns None if that version ignores the
/// key.
fn strip_unknown_fields(key: &str, value: &RawValue) -> Option<Box<RawValue>> {
    match production::read(key, value) {
        Ok(Read::Understood(value)) => Some(value),
        Ok(Read::Ignored) => None,
        Err(error) => panic!("the production version can't read {key}: {error}"),
    }
}

/// Removes the fields that the production version doesn't write from a change. Returns whether that version makes the
/// change at all.
pub(super) fn as_production_writes_it(change: &mut Change) -> bool {
    match change {
        Change::Put { key, value, .. } => match strip_unknown_fields(key, value) {
            Some(known) => {
                *value = known;
                true
            }
            None => false,
        },
        Change::Delete { .. } => true,
    }
}

/// Removes the keys and fields that the production version doesn't know from a reply of the state service.
pub(super) fn as_production_sees_it(mut reply: Response) -> Response {
    let Ok(mut body) = serde_json::from_slice::<serde_json::Value>(&reply.body) else {
        return reply;
    };
    // Returns whether the production version knows the item, and so keeps it.
    let strip_item = |item: &mut serde_json::Value| {
        let key = item["K"].as_str().or(item["Put"].as_str());
        let Some(key) = key.map(str::to_owned) else {
            // A deletion has no value to strip.
            return true;
        };
        let value = serde_json::value::to_raw_value(&item["V"]).unwrap();
        let Some(known) = strip_unknown_fields(&key, &value) else {
            return false;
        };
        item["V"] = serde_json::from_str(known.get()).unwrap();
        true
    };
    for list in ["Pairs", "News"] {
        if let Some(items) = body[list].as_array_mut() {
            items.retain_mut(strip_item);
        }
    }
    if !body["V"].is_null() {
        strip_item(&mut body);
    }
    reply.body = serde_json::to_vec(&body).unwrap();
    reply
}
