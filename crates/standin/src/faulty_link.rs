//! A TCP proxy in front of a process, which can simulate network faults.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// The fault that a link simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault: bytes are forwarded.
    None,
    /// Connections open now stay open but forward nothing any more; new ones
    /// work.
    SilenceOpen,
    /// Open connections are closed, and new ones are closed once accepted.
    Cut,
}

/// A proxy to one process; it accepts connections until the runtime ends.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    /// The fault, and a number that grows each time it is set.
    fault: Arc<watch::Sender<(u64, LinkFault)>>,
}

impl FaultyLink {
    /// Opens a link without a target; connections are closed until it has one.
    ///
    /// # Errors
    /// When no port can be listened on.
    pub async fn open() -> std::io::Result<FaultyLink> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, _) = watch::channel((0, LinkFault::None));
        let fault = Arc::new(fault);
        let target = Arc::new(OnceLock::new());
        tokio::spawn(accept_connections(listener, Arc::clone(&target), Arc::clone(&fault)));
        Ok(FaultyLink { address, target, fault })
    }

    /// Sets the process that the link forwards to; later calls have no effect.
    pub fn set_target(&self, target: SocketAddr) {
        let _first = self.target.get_or_init(|| target);
    }

    /// The address to use in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets or clears the fault.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_modify(|state| *state = (state.0 + 1, fault));
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: Arc<OnceLock<SocketAddr>>,
    fault: Arc<watch::Sender<(u64, LinkFault)>>,
) {
    while let Ok((stream, _peer)) = listener.accept().await {
        let open = fault.borrow().1 != LinkFault::Cut;
        if let (true, Some(target)) = (open, target.get()) {
            tokio::spawn(forward(stream, *target, fault.subscribe()));
        }
    }
}

/// Forwards bytes in both directions until the link fails.
async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut fault: watch::Receiver<(u64, LinkFault)>,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    for stream in [&client, &server] {
        // Without the option the link is slower but works.
        let _unsupported = stream.set_nodelay(true);
    }
    fault.mark_unchanged();
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let forwarding = async {
        tokio::join!(
            copy_bytes(&mut client_read, &mut server_write),
            copy_bytes(&mut server_read, &mut client_write),
        );
    };
    tokio::pin!(forwarding);
    loop {
        tokio::select! {
            () = &mut forwarding => return,
            changed = fault.changed() => {
                if changed.is_err() {
                    return;
                }
                match fault.borrow().1 {
                    LinkFault::None => {}
                    LinkFault::Cut => return,
                    LinkFault::SilenceOpen => break,
                }
            }
        }
    }
    // Keeps both sockets open and forwards nothing, for as long as the runtime
    // lives.
    std::future::pending::<()>().await;
}

async fn copy_bytes(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
) {
    let mut chunk = vec![0; COPY_BUFFER_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    // Fails if the peer is gone; the other direction then ends on its own error.
    let _closed = to.shutdown().await;
}
