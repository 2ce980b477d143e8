//! A TCP proxy before each server, which breaks connections on demand.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What becomes of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// All goes through.
    Passes,
    /// What the server says does not arrive.
    Silent,
    /// Nobody listens, and what was open is reset.
    Dead,
}

/// One proxy.
pub struct Proxy {
    /// Where nodes connect.
    pub address: SocketAddr,
    server: SocketAddr,
    mode: watch::Sender<Mode>,
    /// Counts resets of all connections.
    resets: watch::Sender<u32>,
    listening: Mutex<Option<JoinHandle<()>>>,
}

impl Proxy {
    /// Listens at `address` for the server at `server`.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> Arc<Proxy> {
        let listener = listen(address);
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().unwrap(),
            server,
            mode: watch::Sender::new(Mode::Passes),
            resets: watch::Sender::new(0),
            listening: Mutex::default(),
        });
        proxy.accept(listener);
        proxy
    }

    /// From now on it does so.
    pub async fn set(self: &Arc<Self>, mode: Mode) {
        let before = self.mode.send_replace(mode);
        if mode == Mode::Dead {
            let task = self.listening.lock().unwrap().take();
            if let Some(task) = task {
                task.abort();
                // Its listener is closed once it has ended.
                let _ = task.await;
            }
            self.reset_all();
        } else if before == Mode::Dead {
            self.accept(listen(self.address));
        }
    }

    /// Resets what is open.
    pub fn reset_all(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let own = self.clone();
        let task = tokio::spawn(async move {
            while let Ok((node, _)) = listener.accept().await {
                tokio::spawn(own.clone().pass(node));
            }
        });
        *self.listening.lock().unwrap() = Some(task);
    }

    async fn pass(self: Arc<Self>, node: TcpStream) {
        let mut resets = self.resets.subscribe();
        let Ok(server) = TcpStream::connect(self.server).await else { return };
        for stream in [&node, &server] {
            let _ = stream.set_nodelay(true);
        }
        let (mut from_node, mut to_node) = node.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let reset = tokio::select! {
            () = copy(&mut from_node, &mut to_server, None) => false,
            () = copy(&mut from_server, &mut to_node, Some(self.mode.subscribe())) => false,
            _ = resets.changed() => true,
        };
        if reset {
            let _ = socket2::SockRef::from(to_node.as_ref()).set_linger(Some(std::time::Duration::ZERO));
        }
    }
}

/// Listens where another listener may just have been.
pub fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(1024).unwrap()
}

/// Passes on what comes until either side ends; with a mode, only while that lets it.
async fn copy(from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, mode: Option<watch::Receiver<Mode>>) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(n) = from.read(&mut buffer).await else { return };
        if n == 0 {
            return;
        }
        if mode.as_ref().is_some_and(|mode| *mode.borrow() == Mode::Silent) {
            // Lost, and so is all that follows on this connection.
            return std::future::pending().await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
