//! A load balancer for expert-parallel model groups.
//!
//! This crate holds the command line and the operators' commands. The processes are implemented in
//! `lynxmount-entry` and `lynxmount-endpoint`, and those on the platform in `lynxmount-direct` and
//! `lynxmount-rank`.

#![forbid(unsafe_code)]

mod cli;
mod commands;
mod config_log;
mod exit;
mod table;

pub use cli::command;
pub use commands::run;
pub use exit::Exit;
