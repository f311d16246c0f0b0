//! The `lynxmount` binary.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = lynxmount::command().get_matches();
    lynxmount::run(&matches).into()
}
