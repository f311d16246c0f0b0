//! Enforces the resource budget of a process: connections, their read buffers and buffered bodies.
//!
//! All ports of a process share one budget. The decisions are in `lynxmount-policy`.

#![forbid(unsafe_code)]

mod body_buffer;
mod budget;
mod connection;
mod metered_stream;
mod server;
mod tracked_body;

pub use body_buffer::{BodyBuffer, BufferedBody, ReadError, read_body};
pub use budget::{BudgetEvent, Exhausted, Reservation, SharedBudget};
pub use connection::TrackedConnection;
pub use metered_stream::MeteredStream;
pub use server::{Acceptor, serve_connection};
