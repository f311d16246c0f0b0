//! The committed traces have their expected results, and mismatches and invalid lines are reported.

use std::{fs, io::Cursor, path::PathBuf};

use lynxmount_replay::replay_trace;
use serde_json::json;

fn traces() -> Vec<PathBuf> {
    let directory = format!("{}/../../traces", env!("CARGO_MANIFEST_DIR"));
    let entries = fs::read_dir(directory).expect("the folder of traces can be read");
    entries.map(|entry| entry.expect("the entry can be read").path()).collect()
}

#[test]
fn committed_traces_have_their_expected_results() {
    let traces = traces();

    assert!(traces.len() >= 5);
    for path in traces {
        let text = fs::read_to_string(&path).expect("the trace can be read");
        let mismatch = replay_trace(Cursor::new(text), |_, _| {}).expect("the trace is valid");
        assert_eq!(mismatch, None, "{}", path.display());
    }
}

#[test]
fn the_first_mismatch_is_reported() {
    let line = |expect: &str| {
        format!(
            r#"{{"event":{{"kind":"key-wanted","entry":"e","key":"k","request":"r"}},"expect":{expect}}}"#
        )
    };
    let text = [line(r#"{"claim":{"replaces":null}}"#), line(r#""dispatch""#)].join("\n");

    let mismatch = replay_trace(Cursor::new(text), |_, _| {}).expect("the trace is valid");

    let mismatch = mismatch.expect("the second line differs");
    assert_eq!(mismatch.line, 2);
    assert_eq!(mismatch.actual, json!({ "claim": { "replaces": null } }));
}

#[test]
fn an_invalid_line_is_reported_with_its_number() {
    let cases = [
        ("nothing", 1, "expected ident"),
        (r#"{"event":{"kind":"nothing"}}"#, 1, "unknown variant"),
        (r#"{"event":{"kind":"asked","rank":3,"by":1,"change":7}}"#, 1, "rank 3 has not started"),
    ];
    for (text, line, reason) in cases {
        let error = replay_trace(Cursor::new(text), |_, _| {}).expect_err(text);

        assert_eq!(error.line, line);
        assert!(error.reason.contains(reason), "{error}");
    }
}
