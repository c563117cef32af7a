//! A stand-in for the network between two processes: passes bytes on until it
//! is told to fail.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const CHUNK_BYTES: usize = 16 * 1024;

/// How the link fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// It works.
    None,
    /// Connections that are open now go silent for good; new ones work.
    SilenceOpen,
    /// Everything is cut: open connections break, new ones are refused.
    Cut,
}

/// A link to one process.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    fault: Arc<watch::Sender<(u64, LinkFault)>>,
}

impl FaultyLink {
    /// Opens a link whose target is named later.
    ///
    /// # Errors
    /// When no port can be listened on.
    pub async fn open() -> std::io::Result<FaultyLink> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, _) = watch::channel((0, LinkFault::None));
        let fault = Arc::new(fault);
        let target = Arc::new(OnceLock::new());
        tokio::spawn(accept(listener, Arc::clone(&target), Arc::clone(&fault)));
        Ok(FaultyLink { address, target, fault })
    }

    /// Names the process at the other end, once.
    pub fn set_target(&self, target: SocketAddr) {
        let _first = self.target.get_or_init(|| target);
    }

    /// Where to connect instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the link fail, or work again.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_modify(|state| *state = (state.0 + 1, fault));
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<OnceLock<SocketAddr>>,
    fault: Arc<watch::Sender<(u64, LinkFault)>>,
) {
    while let Ok((stream, _peer)) = listener.accept().await {
        let open = fault.borrow().1 != LinkFault::Cut;
        if let (true, Some(target)) = (open, target.get()) {
            tokio::spawn(pass(stream, *target, fault.subscribe()));
        }
    }
}

/// Passes bytes both ways until the link fails.
async fn pass(near: TcpStream, target: SocketAddr, mut fault: watch::Receiver<(u64, LinkFault)>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    for stream in [&near, &far] {
        // A socket without the option still works.
        let _refused = stream.set_nodelay(true);
    }
    fault.mark_unchanged();
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let passing = async {
        tokio::join!(copy(&mut near_read, &mut far_write), copy(&mut far_read, &mut near_write),);
    };
    tokio::pin!(passing);
    loop {
        tokio::select! {
            () = &mut passing => return,
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
    // Holds both ends open and passes nothing on, until the far end gives up.
    std::future::pending::<()>().await;
}

async fn copy(from: &mut tokio::net::tcp::OwnedReadHalf, to: &mut tokio::net::tcp::OwnedWriteHalf) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    // The other direction notices by itself when the peer is gone.
    let _closed = to.shutdown().await;
}
