use super::from_object;
use crate::protocol::store::{KeyPage, KeyValue};
use crate::protocol::workers::Heartbeat;

const HEARTBEAT: &str = r#"{"Host":"i-1","Addr":"10.1.0.1:9000","Rig":"g8","Yard":"a","Loaner":true,"Shift":1,"Tick":88,
    "Baton":41,"RecallS":null,"Legs":[{"Leg":"j-1/3","Try":2,"Status":"running"}]}"#;

#[test]
fn integers_of_heartbeats_and_stored_values_are_read_in_each_spelling_of_json() {
    let spellings = HEARTBEAT
        .replace("\"Shift\":1", "\"Shift\":1.0")
        .replace("88", "8.8e1")
        .replace("41", "41e0")
        .replace("\"Try\":2", "\"Try\":2.00");
    let heartbeat: Heartbeat = from_object(spellings.as_bytes()).unwrap();
    let plain: Heartbeat = from_object(HEARTBEAT.as_bytes()).unwrap();
    assert_eq!(
        serde_json::to_string(&heartbeat).unwrap(),
        serde_json::to_string(&plain).unwrap()
    );
    let stored: KeyValue = from_object(br#"{"K":"a","V":{},"Stamp":412.0,"Permit":7e0}"#).unwrap();
    assert_eq!((stored.revision, stored.lease), (412, Some(7)));
    let listing: KeyPage =
        from_object(br#"{"Pairs":[],"Truncated":false,"Epoch":4.31e2}"#).unwrap();
    assert_eq!(listing.revision, 431);
    for wrong in ["1.5", "-1", "1e99", "\"1\"", "null"] {
        let text = HEARTBEAT.replace("\"Shift\":1", &format!("\"Shift\":{wrong}"));
        assert!(
            from_object::<Heartbeat>(text.as_bytes()).is_err(),
            "{wrong}"
        );
    }
}

#[test]
fn a_list_of_values_in_the_order_of_the_fields_is_no_message() {
    let list = r#"["i-1","10.1.0.1:9000","g8","a",true,1,88,41,null,[]]"#;
    assert!(serde_json::from_str::<Heartbeat>(list).is_ok());
    assert!(from_object::<Heartbeat>(list.as_bytes()).is_err());
    assert!(from_object::<Heartbeat>(b"").is_err());
    assert!(from_object::<Heartbeat>(format!(" \n{HEARTBEAT}").as_bytes()).is_ok());
}
