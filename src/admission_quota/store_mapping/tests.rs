//! Tests of `store_mapping`.

use quota::{AllotmentRecord, OwnerRecord, SettingsRecord, SharedRecord, TeamRecord};

use super::*;
use crate::protocol::store::Change;

fn amount(cpus: f64) -> QuotaAmount {
    QuotaAmount::of_job(1, cpus, 0.0, 0.0)
}

/// Names with spaces, slashes, percent signs or non-ASCII letters give keys that the state service accepts, and keys
/// and values decode to the accounts that were encoded.
#[test]
fn accounts_round_trip_through_keys_and_values() {
    let names = ["blue", "fleet ops", "a/b", "100%", "Köln", ".."];
    for name in names {
        let (team, node): (Rc<str>, Rc<str>) = (name.into(), "n/0".into());
        let changes = [
            AccountChange::Settings(Some(SettingsRecord {
                digest: "d".into(),
                generation: 3,
                open: true,
            })),
            AccountChange::Shared(Some(SharedRecord {
                free: QuotaAmount::ZERO - amount(2.0),
            })),
            AccountChange::Team(
                team.clone(),
                Some(TeamRecord {
                    generation: 3,
                    held: amount(4.0),
                    free: amount(1.0),
                    uncharged: QuotaAmount::ZERO,
                }),
            ),
            AccountChange::Owner(node.clone(), Some(OwnerRecord { incarnation: 9 })),
            AccountChange::Allotment {
                team: team.clone(),
                node: node.clone(),
                record: Some(AllotmentRecord {
                    incarnation: u64::MAX,
                    size: amount(0.5),
                }),
            },
            AccountChange::Team(team.clone(), None),
        ];
        for change in changes {
            let (key, value) = match encode_change(&change).unwrap() {
                Change::Put { key, value, .. } => (key, Some(value)),
                Change::Delete { key } => (key, None),
            };
            assert!(
                key.len() <= 200 && key.bytes().all(|byte| byte.is_ascii_graphic()),
                "{key}"
            );
            let account = key.strip_prefix(&keys::quota("")).unwrap();
            assert_eq!(decode_change(account, value.as_deref()), Some(change));
        }
    }
}

/// Accounts of newer versions, invalid names and malformed values are ignored instead of changing the replica.
#[test]
fn unknown_accounts_and_malformed_values_are_ignored() {
    for account in ["", "later", "team/%ff", "allotment/blue"] {
        assert_eq!(decode_change(account, None), None, "{account}");
    }
    let malformed = RawValue::from_string("{\"free\":7}".into()).unwrap();
    assert_eq!(decode_change("shared", Some(&malformed)), None);
}
