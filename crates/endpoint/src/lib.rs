//! The endpoint process: every request to one back end passes through it.

#![forbid(unsafe_code)]

mod backend;
mod backend_watch;
mod connection;
mod data_port;
mod keys;
mod output;
mod places;
mod process;
mod recording;
mod reports;
mod runner;
mod sink;

pub use process::run;
