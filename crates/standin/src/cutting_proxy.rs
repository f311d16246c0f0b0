//! A TCP proxy in front of an HTTP server that cuts responses at any byte.

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const LENGTH_HEADER: &str = "content-length: ";

/// Longer than any request head, which arrives in one read then.
const READ_BYTES: usize = 16 * 1024;

/// How a cut ends the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutKind {
    /// Both directions are closed.
    Close,
    /// The direction to the client is closed; requests are still read.
    HalfClose,
    /// The connection is reset.
    Reset,
}

/// How a response with a length is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// As the server frames it.
    Kept,
    /// Without its length, so that it ends with the connection.
    UntilClose,
}

/// A cut of responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cut {
    /// Number of bytes of a response that are passed on, counted in the framing that is sent.
    pub after_bytes: usize,
    /// How the connection ends.
    pub kind: CutKind,
    /// How responses are framed.
    pub framing: Framing,
}

#[derive(Default)]
struct State {
    /// A part of the request heads whose responses are cut.
    head_part: String,
    cut: Option<Cut>,
    cut_count: usize,
    /// Bytes of the last response to such a request that was not cut.
    whole_bytes: usize,
}

/// A proxy. Its address is that of the server to clients.
pub struct CuttingProxy {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl CuttingProxy {
    /// Starts a proxy that may cut responses to requests whose heads contain `head_part`; port 0
    /// selects a free port.
    ///
    /// Fails if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
        head_part: &str,
    ) -> anyhow::Result<CuttingProxy> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = State { head_part: head_part.to_owned(), ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let accepting = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let state = Arc::clone(&accepting);
                // Broken connections are what the proxy is for.
                tokio::spawn(async move { relay(client, target, state).await.ok() });
            }
        });
        Ok(CuttingProxy { state, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts responses from now on, or none.
    pub fn set_cut(&self, cut: Option<Cut>) {
        self.state.lock().cut = cut;
    }

    /// Number of responses that were cut.
    pub fn cut_count(&self) -> usize {
        self.state.lock().cut_count
    }

    /// Bytes of the last response that was not cut, and might have been.
    pub fn whole_bytes(&self) -> usize {
        self.state.lock().whole_bytes
    }
}

/// Relays a connection until one side closes it or a response is cut.
async fn relay(
    mut client: TcpStream,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
) -> std::io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    let (mut request, mut response) =
        (Vec::with_capacity(READ_BYTES), Vec::with_capacity(READ_BYTES));
    let (mut is_cut_here, mut sent_bytes) = (false, 0);
    loop {
        tokio::select! {
            read = client.read_buf(&mut request) => {
                if read? == 0 {
                    return Ok(());
                }
                let text = String::from_utf8_lossy(&request).into_owned();
                if text.contains(" HTTP/1.1\r\n") {
                    is_cut_here = text.contains(&state.lock().head_part);
                    sent_bytes = 0;
                    response.clear();
                }
                server.write_all(&request).await?;
                request.clear();
            }
            read = server.read_buf(&mut response) => {
                if read? == 0 {
                    return Ok(());
                }
                let cut = state.lock().cut.filter(|_| is_cut_here);
                let Some(cut) = cut else {
                    client.write_all(&response[sent_bytes..]).await?;
                    sent_bytes = response.len();
                    if is_cut_here {
                        state.lock().whole_bytes = sent_bytes;
                    }
                    continue;
                };
                if cut.framing == Framing::UntilClose {
                    let Some(unframed) = without_length(&response) else { continue };
                    let end = cut.after_bytes.min(unframed.len());
                    client.write_all(&unframed[..end]).await?;
                    return end_with(client, cut.kind, &state).await;
                }
                let end = cut.after_bytes.min(response.len());
                client.write_all(&response[sent_bytes.min(end)..end]).await?;
                sent_bytes = end;
                if end == cut.after_bytes {
                    return end_with(client, cut.kind, &state).await;
                }
            }
        }
    }
}

async fn end_with(
    mut client: TcpStream,
    kind: CutKind,
    state: &Mutex<State>,
) -> std::io::Result<()> {
    state.lock().cut_count += 1;
    match kind {
        CutKind::Close => Ok(()),
        CutKind::HalfClose => {
            client.shutdown().await?;
            while client.read_buf(&mut Vec::new()).await? > 0 {}
            Ok(())
        }
        CutKind::Reset => client.set_zero_linger(),
    }
}

/// A whole response without its length; `None` if it is not whole yet, or has no length.
fn without_length(response: &[u8]) -> Option<Vec<u8>> {
    let head_end = response.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&response[..head_end]).into_owned();
    let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(LENGTH_HEADER))?;
    let length: usize = line[LENGTH_HEADER.len()..].trim().parse().ok()?;
    if response.len() < head_end + length {
        return None;
    }
    let mut unframed = head.replacen(&format!("{line}\r\n"), "", 1).into_bytes();
    unframed.extend_from_slice(&response[head_end..head_end + length]);
    Some(unframed)
}
