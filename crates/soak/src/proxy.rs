//! A proxy on loopback that harms what passes.

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

/// What is read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a proxy does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Mode {
    fault: Option<LinkFault>,
    /// Counts resets: connections end when it grows.
    resets: u64,
}

/// Passes connections on to an address.
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

#[derive(Clone, Copy)]
enum Direction {
    Back,
    Forth,
}

impl Proxy {
    /// Listens on an address.
    ///
    /// Fails if it can't be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> anyhow::Result<Proxy> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode { fault: None, resets: 0 });
        let watched = mode.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, watched.clone()));
            }
        });
        Ok(Proxy { address, mode })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins a fault, or ends the one that there is.
    pub fn set(&self, fault: Option<LinkFault>) {
        self.mode.send_modify(|mode| {
            mode.fault = fault;
            mode.resets += u64::from(fault == Some(LinkFault::Reset));
        });
    }
}

/// Passes one connection on until it ends or is reset.
async fn pass(mut near: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let resets = mode.borrow_and_update().resets;
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    let is_reset = {
        let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
        let forth = copy(near_in, far_out, Direction::Forth, mode.clone());
        let back = copy(far_in, near_out, Direction::Back, mode.clone());
        tokio::select! {
            _ = async { tokio::join!(forth, back) } => false,
            _ = mode.wait_for(|mode| mode.resets > resets) => true,
        }
    };
    if is_reset {
        // Without lingering, closing a side resets it; one that is gone needs none.
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // An end passes on like bytes do, and so does a reset, as an end.
        let length = from.read(&mut buffer).await.unwrap_or_default();
        let fault = mode.borrow_and_update().fault;
        let is_held = matches!(
            (fault, direction),
            (Some(LinkFault::Silence), _)
                | (Some(LinkFault::CutForth), Direction::Forth)
                | (Some(LinkFault::CutBack), Direction::Back)
        );
        // What is lost on the way comes again once the link is whole, as it would
        // with retransmission.
        if is_held && mode.wait_for(|mode| mode.fault != fault).await.is_err() {
            return;
        }
        if let Some(LinkFault::Delay(by_ms)) = fault {
            tokio::time::sleep(Duration::from_millis(by_ms)).await;
        }
        if length == 0 {
            // The other side may be gone already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
