//! Signals and terminates one process of a node, sends it admin commands, and reads its log.

use crate::settings::RequestClass;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::time::Instant;

/// How long to wait for the answer to an admin command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);

/// The time from SIGTERM to SIGKILL on top of the longest deadline of a class. SIGKILL never comes sooner.
const SHUTDOWN_EXTRA_TIME: Duration = Duration::from_millis(700);
/// The signals that a process gets when it is terminated.
const TERMINATION_SIGNALS: [Signal; 4] =
    [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM, Signal::SIGTERM];
/// The pause after each of these signals.
const TERMINATION_SIGNAL_INTERVAL: Duration = Duration::from_millis(40);

/// The time from SIGTERM to the earliest SIGKILL.
pub fn kill_delay() -> Duration {
    let longest_deadline = RequestClass::ALL.map(RequestClass::max_timeout).into_iter().max();
    longest_deadline.unwrap_or_default() + SHUTDOWN_EXTRA_TIME
}

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

    /// Sends the signals of a termination and waits until the process has exited. Kills it after
    /// [`kill_delay`], and returns `None` then.
    pub async fn terminate(&mut self) -> Option<std::io::Result<ExitStatus>> {
        let kill_at = Instant::now() + kill_delay();
        for signal in TERMINATION_SIGNALS {
            self.signal(signal);
            tokio::time::sleep(TERMINATION_SIGNAL_INTERVAL).await;
        }
        let exited = tokio::time::timeout_at(kill_at, self.child.wait()).await.ok();
        if exited.is_none() {
            let _ = self.child.kill().await;
        }
        exited
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
