//! Typed records of the audit trail, and the buffer from which they are appended to the log.

#![forbid(unsafe_code)]

mod buffer;
mod record;

pub use buffer::AuditBuffer;
pub use record::{AUDIT_STREAM, Actor, AuditBatch, AuditEvent, AuditRecord};
