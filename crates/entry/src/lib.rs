//! The entry process: HTTP server for callers, admission control, load balancing, retries and
//! request outcomes.

#![forbid(unsafe_code)]

mod attempt;
mod authentication;
mod call;
mod caller_connection;
mod callers_port;
mod claim_log;
mod crash_report_log;
mod deadline;
mod endpoint_client;
mod endpoint_clients;
mod handler;
mod key_binding;
mod process;
mod relay;
mod reply;
mod request;
mod retry_loop;
mod service_pool;
mod target;

pub use process::run;
