//! Prints command output as a table or as JSON lines.

use clap::ArgMatches;
use serde::Serialize;

use crate::cli::{OUTPUT, OUTPUT_JSON};

/// The separator between table columns.
const COLUMN_GAP: &str = "  ";

/// The format of a command's output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// JSON lines.
    Json,
    /// A table with a header row.
    Table,
}

impl OutputFormat {
    pub(crate) fn from_matches(matches: &ArgMatches) -> OutputFormat {
        match matches.get_one::<String>(OUTPUT) {
            Some(format) if format == OUTPUT_JSON => OutputFormat::Json,
            _ => OutputFormat::Table,
        }
    }

    /// Prints rows as a table or as one JSON value per line.
    pub(crate) fn print<T: Serialize>(
        self,
        heading: &[&str],
        rows: &[T],
        cells: impl Fn(&T) -> Vec<String>,
    ) {
        match self {
            OutputFormat::Json => rows.iter().for_each(print_json),
            OutputFormat::Table => {
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
        println!("{}", cells.join(COLUMN_GAP).trim_end());
    }
}
