//! Typed records of what the system did, and their way into the log.

#![forbid(unsafe_code)]

mod buffer;
mod record;

pub use buffer::AuditBuffer;
pub use record::{AUDIT_STREAM, Actor, AuditBatch, AuditEvent, AuditRecord};
