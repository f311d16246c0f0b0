//! The endpoint process: a sidecar proxy through which every request to one back end passes.

#![forbid(unsafe_code)]

mod answer_sender;
mod answer_sink;
mod attempt_runner;
mod backend;
mod backend_monitor;
mod concurrency;
mod data_port;
mod entry_connection;
mod idempotency_store;
mod load_reporter;
mod pause_watch;
mod process;
mod recording;

pub use process::run;
