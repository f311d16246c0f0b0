//! `lynxmount replay`.

use std::{fs::File, io::BufReader};

use anyhow::Context;
use clap::ArgMatches;
use lynxmount_replay::{Line, replay_trace};
use serde_json::Value;

use crate::{
    Exit,
    cli::{FILE, RECORD},
    table::print_json,
};

/// Replays a trace against the decision logic; fails at the first result that differs from the
/// expected one.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let path = matches.get_one::<String>(FILE).context("the argument is required")?;
    let file = File::open(path).with_context(|| format!("read {path}"))?;
    let is_recording = matches.get_flag(RECORD);
    let mut event_count = 0;
    let result = replay_trace(BufReader::new(file), |line, actual| {
        event_count += 1;
        if is_recording {
            print_json(&with_actual_result(line, actual));
        }
    });
    match result {
        Ok(None) => {
            eprintln!("{event_count} events, all with the stated results");
            Ok(Exit::Done)
        }
        Ok(Some(mismatch)) => {
            let (line, expected, actual) = (mismatch.line, mismatch.expected, mismatch.actual);
            eprintln!("lynxmount: {path}:{line}: stated {expected}, came to {actual}");
            Ok(Exit::Failed)
        }
        Err(error) => {
            eprintln!("lynxmount: {path}:{error}");
            Ok(Exit::Invalid)
        }
    }
}

/// Returns the line with its actual result in place of the expected one.
fn with_actual_result(line: &Line, actual: &Value) -> Line {
    Line { event: line.event.clone(), expect: Some(actual.clone()) }
}
