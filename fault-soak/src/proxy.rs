//! Forwards TCP connections to a simulated server, and breaks them on demand.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes in both directions.
    Forwarding,
    /// Drops what the server sends. A connection on which bytes were dropped never delivers any again.
    DropServerOutput,
    /// Refuses new connections. Open connections are reset on entry to this mode.
    Down,
}

/// The proxy in front of one server.
pub struct Proxy {
    /// The address on which the proxy accepts connections of nodes.
    pub address: SocketAddr,
    server: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    /// Counts the resets of all connections.
    resets: watch::Sender<u32>,
    /// Counts the changes of the mode and the resets.
    disruptions: AtomicU64,
    /// The task that accepts connections; `None` while the proxy is down.
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

impl Proxy {
    /// Starts a proxy that listens at `address` and forwards to the server at `server`.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> Arc<Proxy> {
        let listener = listen(address);
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().unwrap(),
            server,
            mode: watch::Sender::new(ProxyMode::Forwarding),
            resets: watch::Sender::new(0),
            disruptions: AtomicU64::new(0),
            accept_task: Mutex::default(),
        });
        proxy.spawn_accept_task(listener);
        proxy
    }

    /// Sets the mode. Returns once the listening socket has been closed or opened accordingly.
    pub async fn set_mode(self: &Arc<Self>, mode: ProxyMode) {
        self.disruptions.fetch_add(1, Ordering::SeqCst);
        let before = self.mode.send_replace(mode);
        if mode == ProxyMode::Down {
            let task = self.accept_task.lock().unwrap().take();
            if let Some(task) = task {
                task.abort();
                // The task owns the listening socket, which is closed only once the task has ended.
                let _ = task.await;
            }
            self.reset_all();
        } else if before == ProxyMode::Down {
            self.spawn_accept_task(listen(self.address));
        }
    }

    /// Resets all open connections.
    pub fn reset_all(&self) {
        self.disruptions.fetch_add(1, Ordering::SeqCst);
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// The number of changes of the mode and of resets so far. `None` unless all bytes are forwarded now.
    pub fn disruptions_if_forwarding(&self) -> Option<u64> {
        let is_forwarding = *self.mode.borrow() == ProxyMode::Forwarding;
        is_forwarding.then(|| self.disruptions.load(Ordering::SeqCst))
    }

    fn spawn_accept_task(self: &Arc<Self>, listener: TcpListener) {
        let proxy = self.clone();
        let task = tokio::spawn(async move {
            while let Ok((node, _)) = listener.accept().await {
                tokio::spawn(proxy.clone().forward_connection(node));
            }
        });
        *self.accept_task.lock().unwrap() = Some(task);
    }

    async fn forward_connection(self: Arc<Self>, node: TcpStream) {
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
        // Dropping the halves one by one would send a regular end before the reset, and a response whose end is
        // that of its connection would look complete.
        if reset && let Ok(node) = from_node.reunite(to_node) {
            let _ = socket2::SockRef::from(&node).set_linger(Some(std::time::Duration::ZERO));
        }
    }
}

/// Listens at an address on which a previous listener may have been closed just before.
pub fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(1024).unwrap()
}

/// Copies bytes until either side ends its connection. With a `mode`, copies only until bytes arrive in
/// [`ProxyMode::DropServerOutput`], and then never returns.
async fn copy(from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf, mode: Option<watch::Receiver<ProxyMode>>) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(n) = from.read(&mut buffer).await else { return };
        if n == 0 {
            return;
        }
        if mode.as_ref().is_some_and(|mode| *mode.borrow() == ProxyMode::DropServerOutput) {
            // These bytes are lost. Bytes that came later would corrupt the stream, so none are forwarded
            // either.
            return std::future::pending().await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
