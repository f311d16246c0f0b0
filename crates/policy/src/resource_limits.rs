//! Limits of the resource budget: how a process divides its memory and its file descriptors.

/// Memory for the program, its configuration and the state of the fleet.
const PROGRAM_BYTES: usize = 40_000_000;

/// At least one of this many parts of the memory is for peers, whatever the program takes.
const MIN_PEER_FRACTION: usize = 4;

/// Parts of the remaining memory in eighths. The rest is for fragmentation of the heap.
const CONNECTION_EIGHTHS: usize = 3;
const BODY_EIGHTHS: usize = 4;

/// One of this many parts of the bodies' memory is for small bodies only, so that ordinary requests
/// are served beside large ones.
const SMALL_BODY_FRACTION: usize = 4;

/// Parts of the descriptors in sixteenths. The rest is for connections that the process opens.
const CALLER_SIXTEENTHS: usize = 12;
const INTERNAL_SIXTEENTHS: usize = 1;

/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// Fraction of the descriptors that is reserved for files if they are few.
const MAX_FILE_FRACTION: usize = 4;

/// The limits of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceLimits {
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections of other processes of the system, operators and probes.
    pub internal_connections: usize,
    /// Buffers of connections, in bytes.
    pub connection_bytes: usize,
    /// Bodies of requests and responses, in bytes.
    pub body_bytes: usize,
    /// The part of `body_bytes` that is reserved for small bodies.
    pub small_body_bytes: usize,
}

impl ResourceLimits {
    /// The limits of a process with this memory and this number of descriptors.
    pub fn of_process(memory_bytes: usize, descriptors: usize) -> ResourceLimits {
        let peer_bytes =
            memory_bytes.saturating_sub(PROGRAM_BYTES).max(memory_bytes / MIN_PEER_FRACTION);
        let body_bytes = peer_bytes / 8 * BODY_EIGHTHS;
        let files = FILE_DESCRIPTORS.min(descriptors / MAX_FILE_FRACTION);
        let sockets = descriptors - files;
        ResourceLimits {
            caller_connections: sockets * CALLER_SIXTEENTHS / 16,
            internal_connections: (sockets * INTERNAL_SIXTEENTHS / 16).max(1),
            connection_bytes: peer_bytes / 8 * CONNECTION_EIGHTHS,
            body_bytes,
            small_body_bytes: body_bytes / SMALL_BODY_FRACTION,
        }
    }

    /// The largest body that fits while no other is held.
    pub fn max_body_bytes(&self) -> usize {
        self.body_bytes - self.small_body_bytes
    }
}
