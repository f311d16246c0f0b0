//! The committed traces come to their stated results, and a wrong one is told.

use std::{fs, io::Cursor, path::PathBuf};

use lynxmount_replay::replay_trace;
use serde_json::json;

fn traces() -> Vec<PathBuf> {
    let directory = format!("{}/../../traces", env!("CARGO_MANIFEST_DIR"));
    let entries = fs::read_dir(directory).expect("the traces are there");
    entries.map(|entry| entry.expect("it can be read").path()).collect()
}

#[test]
fn all_committed_traces_come_to_their_stated_results() {
    let traces = traces();

    assert!(traces.len() >= 5);
    for path in traces {
        let text = fs::read_to_string(&path).expect("the trace can be read");
        let difference = replay_trace(Cursor::new(text), |_, _| {}).expect("the trace is valid");
        assert_eq!(difference, None, "{}", path.display());
    }
}

#[test]
fn the_first_difference_is_told() {
    let line = |expect: &str| {
        format!(
            r#"{{"event":{{"kind":"key-wanted","entry":"e","key":"k","request":"r"}},"expect":{expect}}}"#
        )
    };
    let text = [line(r#"{"claim":{"replaces":null}}"#), line(r#""dispatch""#)].join("\n");

    let difference = replay_trace(Cursor::new(text), |_, _| {}).expect("the trace is valid");

    let difference = difference.expect("the second line differs");
    assert_eq!(difference.line, 2);
    assert_eq!(difference.actual, json!({ "claim": { "replaces": null } }));
}

#[test]
fn a_line_that_can_not_be_played_is_told_with_its_number() {
    let wrong = [
        ("nothing", 1, "expected ident"),
        (r#"{"event":{"kind":"nothing"}}"#, 1, "unknown variant"),
        (r#"{"event":{"kind":"asked","rank":3,"by":1,"change":7}}"#, 1, "rank 3 has not started"),
    ];
    for (text, line, reason) in wrong {
        let error = replay_trace(Cursor::new(text), |_, _| {}).expect_err(text);

        assert_eq!(error.line, line);
        assert!(error.reason.contains(reason), "{error}");
    }
}
