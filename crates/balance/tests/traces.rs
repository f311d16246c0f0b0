//! Reading traces, and errors with the line and the reason.

use std::io::Cursor;

use lynxmount_balance::{StepCounts, TraceError, TraceReader};

const HEADER: &str = r#"{"ranks":2,"experts":2,"layers":2,"slots_per_rank":1}"#;

fn read(text: &str) -> Result<Vec<StepCounts>, TraceError> {
    let mut reader = TraceReader::new(Cursor::new(text.to_owned()))?;
    let mut steps = Vec::new();
    while let Some(step) = reader.next_step()? {
        steps.push(step);
    }
    Ok(steps)
}

#[test]
fn steps_are_read_with_all_their_layers() {
    let text = format!(
        "{HEADER}\n{}\n{}\n\n{}\n",
        r#"{"step":0,"layer":1,"tokens":[1,2]}"#,
        r#"{"step":0,"layer":0,"tokens":[3,4]}"#,
        r#"{"step":5,"layer":0,"tokens":[5,6]}"#
    );

    let steps = read(&text).expect("a valid trace");

    assert_eq!(steps.len(), 2);
    assert_eq!(steps[0].tokens, [[3.0, 4.0], [1.0, 2.0]]);
    assert_eq!(steps[1].tokens, [[5.0, 6.0], [0.0, 0.0]]);
}

#[test]
fn errors_have_the_line_and_the_reason() {
    let cases = [
        ("", 1, "the trace is empty"),
        ("{}", 1, "missing field"),
        (r#"{"ranks":0,"experts":2,"layers":1,"slots_per_rank":1}"#, 1, "ranks must be at least 1"),
        (r#"{"ranks":1,"experts":2,"layers":1,"slots_per_rank":1}"#, 1, "at least experts"),
        (r#"{"ranks":1,"experts":1,"layers":1,"slots_per_rank":1,"x":1}"#, 1, "unknown field"),
        ("HEADER\nnothing", 2, "expected ident"),
        ("HEADER\n{\"step\":0,\"layer\":2,\"tokens\":[1,2]}", 2, "layer must be below 2"),
        ("HEADER\n{\"step\":0,\"layer\":0,\"tokens\":[1]}", 2, "tokens must have 2 counts"),
        ("HEADER\n{\"step\":0,\"layer\":0,\"tokens\":[1,-2]}", 2, "invalid value"),
        (
            "HEADER\n{\"step\":3,\"layer\":0,\"tokens\":[1,2]}\n{\"step\":2,\"layer\":0,\"tokens\":[1,2]}",
            3,
            "step goes back",
        ),
        (
            "HEADER\n{\"step\":3,\"layer\":0,\"tokens\":[1,2]}\n{\"step\":3,\"layer\":0,\"tokens\":[1,2]}",
            3,
            "twice",
        ),
    ];
    for (text, line, reason) in cases {
        let error = read(&text.replace("HEADER", HEADER)).expect_err(text);

        assert_eq!(error.line, line, "{text}: {error}");
        assert!(error.reason.contains(reason), "{text}: {error}");
    }
}
