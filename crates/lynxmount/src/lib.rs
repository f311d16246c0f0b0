//! A load balancer for expert-parallel model groups.
//!
//! This crate is the facade: the command line, and what operators' commands
//! do. The processes themselves live in `lynxmount-entry` and
//! `lynxmount-endpoint`.

#![forbid(unsafe_code)]

mod cli;
mod commands;
mod config_log;
mod exit;
mod table;

pub use cli::command;
pub use commands::run;
pub use exit::Exit;
