//! Output for people and for programs.

use clap::ArgMatches;
use serde::Serialize;

use crate::cli::{OUTPUT, OUTPUT_JSON};

/// The space between columns.
const GAP: &str = "  ";

/// The form of a command's output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputForm {
    /// JSON lines.
    Json,
    /// A table with a heading.
    Table,
}

impl OutputForm {
    pub(crate) fn of(matches: &ArgMatches) -> OutputForm {
        match matches.get_one::<String>(OUTPUT) {
            Some(form) if form == OUTPUT_JSON => OutputForm::Json,
            _ => OutputForm::Table,
        }
    }

    /// Prints rows, as a table or as one JSON value a line.
    pub(crate) fn print<T: Serialize>(
        self,
        heading: &[&str],
        rows: &[T],
        cells: impl Fn(&T) -> Vec<String>,
    ) {
        match self {
            OutputForm::Json => rows.iter().for_each(print_json),
            OutputForm::Table => {
                let mut lines = vec![heading.iter().map(|cell| (*cell).to_owned()).collect()];
                lines.extend(rows.iter().map(cells));
                print_table(&lines);
            }
        }
    }
}

/// Prints one value as a line of JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("lynxmount: print: {error}"),
    }
}

fn print_table(lines: &[Vec<String>]) {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        lines.iter().filter_map(|line| line.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    for line in lines {
        let cells: Vec<String> =
            line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        println!("{}", cells.join(GAP).trim_end());
    }
}
