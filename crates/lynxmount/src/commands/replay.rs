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

/// Plays a trace against the decisions; fails at the first result that is not
/// the stated one.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let path = matches.get_one::<String>(FILE).context("the argument is required")?;
    let file = File::open(path).with_context(|| format!("read {path}"))?;
    let records = matches.get_flag(RECORD);
    let mut played = 0;
    let result = replay_trace(BufReader::new(file), |line, actual| {
        played += 1;
        if records {
            print_json(&recorded(line, actual));
        }
    });
    match result {
        Ok(None) => {
            eprintln!("{played} events, all with the stated results");
            Ok(Exit::Done)
        }
        Ok(Some(difference)) => {
            let (line, expected, actual) =
                (difference.line, difference.expected, difference.actual);
            eprintln!("lynxmount: {path}:{line}: stated {expected}, came to {actual}");
            Ok(Exit::Failed)
        }
        Err(error) => {
            eprintln!("lynxmount: {path}:{error}");
            Ok(Exit::Invalid)
        }
    }
}

/// The line with the result that it came to.
fn recorded(line: &Line, actual: &Value) -> Line {
    Line { event: line.event.clone(), expect: Some(actual.clone()) }
}
