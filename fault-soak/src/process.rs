//! Signals one process of a node, sends it admin commands, and reads its log.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Child;

/// How long to wait for the answer to an admin command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);

/// A process of a node.
pub struct Process {
    /// The process itself.
    pub child: Child,
    /// The address for admin commands.
    pub admin: SocketAddr,
    /// The file that its log goes to.
    pub log: PathBuf,
}

impl Process {
    /// Sends a signal. The signal fails if the process has exited by itself, which its node records.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id().and_then(|pid| i32::try_from(pid).ok()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Returns whether the process answers that it is ready to take over.
    pub async fn is_ready(&self) -> bool {
        send_command(self.admin, "ready").await.is_some_and(|answer| answer.starts_with("done"))
    }

    /// Returns the log so far. Returns an empty text if it cannot be read.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Sends an admin command. Returns `None` if there is no complete answer within [`COMMAND_TIMEOUT`].
pub async fn send_command(admin: SocketAddr, line: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(admin).await.ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    };
    tokio::time::timeout(COMMAND_TIMEOUT, exchange).await.ok().flatten()
}
