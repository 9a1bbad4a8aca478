//! Tests of submission checks.

use super::*;

pub(crate) const JOB: &str = r#"{"Uid":"j-000412","Jobclass":"c","Crew":"red","Shape":"group",
    "Urgency":"urgent","Legs":4,"Cores":8.0,"Gpus":0.0,"MemoryGb":16.0,"Bundle":"img",
    "ImageGb":1.0,"Rigs":null,"Together":true,"Apart":false,"Loaner":true,"ExpectedS":240.0,
    "WaypointS":30.0,"StashS":4.0,"DueS":null,"More":1}"#;

#[test]
fn malformed_and_infeasible_submissions_are_distinguished() {
    let good = parse_submission(JOB.as_bytes()).unwrap();
    for (from, to) in [
        ("\"j-000412\"", "\"x-000412\""),
        ("\"j-000412\"", "\"j-\""),
        ("\"j-000412\"", "\"j-1/2\""),
        ("\"j-000412\"", "17"),
        ("\"Legs\":4", "\"Legs\":0"),
        ("\"Legs\":4", "\"Legs\":100001"),
        ("\"Legs\":4", "\"Legs\":4.5"),
        ("\"Legs\":4", "\"Legs\":-4"),
        ("\"Cores\":8.0", "\"Cores\":-8.0"),
        ("\"Cores\":8.0", "\"Cores\":1e999"),
        ("\"Cores\":8.0", "\"Cores\":\"8\""),
        ("\"Cores\":8.0,", ""),
        ("\"group\"", "\"crowd\""),
        ("\"Together\":true", "\"Together\":null"),
        ("\"Rigs\":null", "\"Rigs\":\"g8\""),
        ("{\"Uid\"", "[{\"Uid\""),
    ] {
        assert!(JOB.contains(from), "{from}");
        assert!(
            parse_submission(JOB.replacen(from, to, 1).as_bytes()).is_err(),
            "{from} -> {to}"
        );
    }
    let config = crate::config::tests::sample();
    let types = crate::test_support::types();
    assert_eq!(infeasibility(&good, &config, &types), None);
    let is_infeasible = |change: fn(&mut Submission)| {
        let mut job = good.clone();
        change(&mut job);
        infeasibility(&job, &config, &types).is_some()
    };
    assert!(is_infeasible(|j| j.team = "green".into()));
    assert!(is_infeasible(|j| j.cpus = 1000.0));
    assert!(is_infeasible(|j| j.tasks = 6));
    assert!(is_infeasible(|j| j.zone = Some("nowhere".into())));
    assert!(is_infeasible(|j| j.types = Some(vec!["none".into()])));
    assert!(!is_infeasible(|j| {
        j.tasks = 6;
        j.kind = JobKind::Array;
    }));
}

/// Users' programs may match the error texts of rejected submissions, so a changed text could break them.
#[test]
fn error_texts_of_rejected_submissions_are_stable() {
    let malformed = |from: &str, to: &str| {
        let text = JOB.replacen(from, to, 1);
        parse_submission(text.as_bytes()).unwrap_err().to_string()
    };
    assert_eq!(malformed("j-000412", "x-1"), "Uid: not a job id");
    assert_eq!(
        malformed("\"Legs\":4", "\"Legs\":0"),
        "Legs: not between 1 and 100000"
    );
    assert_eq!(malformed("\"red\"", "\"\""), "Crew: is empty");
    assert_eq!(
        malformed("\"Cores\":8.0", "\"Cores\":-8.0"),
        "Cores: negative or not finite"
    );
    assert_eq!(
        malformed("{\"Uid\"", "{\"WaitsOn\":[\"x-1\"],\"Uid\""),
        "WaitsOn: x-1 is not a job id"
    );
    let from_json = serde_json::from_str::<Submission>("{").unwrap_err();
    let read = parse_submission(b"{").unwrap_err();
    assert_eq!(read.to_string(), from_json.to_string());
    let texts = [
        Infeasibility::UnknownTeam("green".into()).to_string(),
        Infeasibility::NoMachineType.to_string(),
        Infeasibility::SingleZone.to_string(),
        Infeasibility::TeamLimit.to_string(),
        DependencyError::NeverSubmitted("j-1".into()).to_string(),
        DependencyError::NeverDone("j-1".into()).to_string(),
    ];
    assert_eq!(
        texts,
        [
            "unknown team green",
            "a task fits no allowed machine type",
            "its tasks may not all be in the only zone that they may be in",
            "more than the team's limit",
            "WaitsOn: j-1 was never submitted",
            "WaitsOn: j-1 is never done",
        ]
    );
}

#[test]
fn a_sound_submission_is_the_same_job_in_each_spelling_order_and_with_unknown_fields() {
    let plain = parse_submission(JOB.as_bytes()).unwrap();
    let values: serde_json::Map<String, serde_json::Value> = serde_json::from_str(JOB).unwrap();
    let reversed: Vec<String> = values
        .iter()
        .rev()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    for spelling in [
        JOB.replace("\"Legs\":4", "\"Legs\":4.0"),
        JOB.replace("\"Legs\":4", "\"Legs\":4e0"),
        JOB.replace("\"Legs\":4", "\"Legs\":0.4E+1"),
        JOB.replace("\"Cores\":8.0", "\"Cores\":8"),
        JOB.replace(
            "\"Uid\":\"j-000412\"",
            "\"\\u0055id\":\"j-\\u0030\\u00300412\"",
        ),
        JOB.replace(
            "\"More\":1",
            "\"More\":[{\"a\":1e999,\"Uid\":\"j-9\"}],\"uid\":2",
        ),
        JOB.replace(',', " ,\r\n\t"),
        JOB.replace("\"Rigs\":null,", "")
            .replace("\"DueS\":null,", ""),
        format!("{{{}}}", reversed.join(",")),
    ] {
        let job = parse_submission(spelling.as_bytes());
        assert_eq!(
            job.map_err(|e| e.to_string()).as_ref(),
            Ok(&plain),
            "{spelling}"
        );
    }
}

#[test]
fn a_list_of_a_jobs_values_is_no_submission() {
    let list = r#"["j-1","c","red","batch","urgent",4,8.0,0.0,16.0,"img",1.0,null,null,true,false,true,240.0,30.0,4.0,
        null,[]]"#;
    assert!(serde_json::from_str::<Submission>(list).is_ok());
    assert!(parse_submission(list.as_bytes()).is_err());
}
