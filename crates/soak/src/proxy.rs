//! A TCP proxy on loopback that injects link faults.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
};

use crate::plan::LinkFault;

/// The size of the read buffer.
const BUFFER_BYTES: usize = 16 * 1024;

/// The state of a proxy's faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Mode {
    fault: Option<LinkFault>,
    /// The number of resets; an increase resets open connections.
    resets: u64,
}

/// Forwards connections to an address.
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

#[derive(Clone, Copy)]
enum Direction {
    Downstream,
    Upstream,
}

impl Proxy {
    /// Listens on `address` and forwards to `target`.
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> anyhow::Result<Proxy> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode { fault: None, resets: 0 });
        let watched = mode.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, watched.clone()));
            }
        });
        Ok(Proxy { address, mode })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a fault, or clears the current one.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.mode.send_modify(|mode| {
            mode.fault = fault;
            mode.resets += u64::from(fault == Some(LinkFault::Reset));
        });
    }
}

/// Forwards one connection until it closes or is reset.
async fn forward(mut client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let resets = mode.borrow_and_update().resets;
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    let is_reset = {
        let ((client_read, client_write), (server_read, server_write)) =
            (client.split(), server.split());
        let upstream = copy(client_read, server_write, Direction::Upstream, mode.clone());
        let downstream = copy(server_read, client_write, Direction::Downstream, mode.clone());
        tokio::select! {
            _ = async { tokio::join!(upstream, downstream) } => false,
            _ = mode.wait_for(|mode| mode.resets > resets) => true,
        }
    };
    if is_reset {
        // With zero linger, closing a socket resets its connection. Errors are ignored: a closed
        // connection needs no reset.
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

async fn copy(
    mut source: ReadHalf<'_>,
    mut sink: WriteHalf<'_>,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // A close is forwarded like bytes, and a reset is forwarded as a close.
        let length = source.read(&mut buffer).await.unwrap_or_default();
        let fault = mode.borrow_and_update().fault;
        let is_blocked = matches!(
            (fault, direction),
            (Some(LinkFault::Silence), _)
                | (Some(LinkFault::CutForth), Direction::Upstream)
                | (Some(LinkFault::CutBack), Direction::Downstream)
        );
        // Blocked bytes are delivered once the fault is cleared, as TCP's retransmission would.
        if is_blocked && mode.wait_for(|mode| mode.fault != fault).await.is_err() {
            return;
        }
        if let Some(LinkFault::Delay(delay_ms)) = fault {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if length == 0 {
            // Fails if the other side has closed already.
            let _ = sink.shutdown().await;
            return;
        }
        if sink.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
