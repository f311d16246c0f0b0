//! The entry process: callers' HTTP, admission, routing, retries and outcomes.

#![forbid(unsafe_code)]

mod attempt;
mod attempts;
mod authentication;
mod call;
mod callers_port;
mod claims;
mod crash_report_log;
mod deadline;
mod gate;
mod handler;
mod keyed;
mod link;
mod links;
mod process;
mod relay;
mod reply;
mod request;
mod target;

pub use process::run;
