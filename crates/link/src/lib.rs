//! HTTP connections: one at a time as a client, and a small server loop.

#![forbid(unsafe_code)]

mod client;
mod connection;
mod server;

pub use client::{Answer, HttpClient};
pub use connection::Connection;
pub use server::{Handle, bind, serve};
