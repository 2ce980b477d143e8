//! Accepts admin connections and executes their commands.
//!
//! A command is executed only once its line is complete. Operators must be able to reach the node when
//! clients use all other descriptors, so a number of descriptors is reserved for them. If all of these are
//! in use, the oldest connection that has not yet sent a complete command is closed.

use super::command::{AdminCommand, CommandError, MAX_COMMAND_BYTES};
use crate::driver::Driver;
use crate::frontend::{DrainChange, Frontend, ResumeChange, Stopping};
use crate::observability::log;
use crate::snapshot::{OverrideError, Takeover};
use crate::system::acceptor::Acceptor;
use crate::system::descriptors::Descriptors;
use crate::system::socket::Socket;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Maximum number of admin connections at a time.
pub const MAX_CONNECTIONS: usize = 16;
/// Time in which a connection must send a complete command. After it, the connection gets an error and is
/// closed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for sending the answer and closing the connection. After the answer, the node reads and discards
/// what the operator still sends: closing a socket with unread input resets the connection, and the answer
/// could be lost.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a command was not executed.
#[derive(Debug, Error)]
enum AdminError {
    /// The line is not a valid command.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// The command names an endpoint that is neither on the endpoint list nor out of service.
    #[error("no server with this id is on the list or out of service")]
    UnknownEndpoint,
    /// The change could not be stored for other processes of the node.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The process is shutting down.
    #[error(transparent)]
    Stopping(#[from] Stopping),
    /// The node does not accept clients: the answer to `ready`.
    #[error("takes no clients")]
    NotReady,
}

/// The admin interface of this process.
pub struct AdminServer {
    driver: Rc<Driver>,
    frontend: Rc<Frontend>,
    /// Stores overrides for other processes; `None` if the node does not hand over between processes.
    takeover: Option<Rc<Takeover>>,
    descriptors: Rc<Descriptors>,
    /// Connections that have not yet sent a complete command, by connection id, so the oldest comes first.
    /// Dropping the sender closes the connection.
    awaiting_command: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    open_connections: Cell<usize>,
    next_connection_id: Cell<u64>,
}

/// One of the [`MAX_CONNECTIONS`] slots. Dropping this value frees the slot, however the connection's task
/// ends.
struct ConnectionSlot {
    server: Rc<AdminServer>,
    connection_id: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let server = &self.server;
        server.open_connections.set(server.open_connections.get().saturating_sub(1));
        server.awaiting_command.borrow_mut().remove(&self.connection_id);
    }
}

impl AdminServer {
    /// Creates the interface without any connection; [`AdminServer::accept`] takes them. `takeover` is
    /// `None` if the node does not hand over between processes.
    pub fn new(
        driver: Rc<Driver>,
        frontend: Rc<Frontend>,
        takeover: Option<Rc<Takeover>>,
        descriptors: Rc<Descriptors>,
    ) -> Rc<AdminServer> {
        Rc::new(AdminServer {
            driver,
            frontend,
            takeover,
            descriptors,
            awaiting_command: RefCell::default(),
            open_connections: Cell::new(0),
            next_connection_id: Cell::new(0),
        })
    }

    /// Accepts connections for as long as the process lives.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let acceptor = Acceptor::new(listener, Some(Instant::now()));
        loop {
            match acceptor.accept().await {
                Ok(stream) => self.serve(stream),
                Err(error) => {
                    log::line(&format!("console: accept: {error}"));
                    acceptor.recover(&error, &self.descriptors).await;
                }
            }
        }
    }

    /// Starts the task that serves one connection and ends when the connection does.
    fn serve(self: &Rc<Self>, stream: TcpStream) {
        if self.open_connections.get() >= MAX_CONNECTIONS
            && self.awaiting_command.borrow_mut().pop_first().is_none()
        {
            // All open connections have sent their commands, and end soon. The new one is closed; the
            // operator can connect again.
            return;
        }
        let connection_id = self.next_connection_id.get();
        self.next_connection_id.set(connection_id + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        let (eviction_handle, evicted) = oneshot::channel();
        self.awaiting_command.borrow_mut().insert(connection_id, eviction_handle);
        let slot = ConnectionSlot { server: self.clone(), connection_id };
        let socket = Socket::new(stream, self.descriptors.take_without_waiting());
        spawn_local(async move {
            slot.server.handle_connection(socket, connection_id, evicted).await;
            drop(slot);
        });
    }

    /// Reads a command, executes it, and writes the answer. Returns without an answer if the connection is
    /// evicted while it sends its command.
    async fn handle_connection(
        &self,
        mut stream: Socket,
        connection_id: u64,
        evicted: oneshot::Receiver<()>,
    ) {
        let mut line = Vec::new();
        let read = tokio::select! {
            read = tokio::time::timeout(COMMAND_TIMEOUT, read_line(&mut stream, &mut line)) => read,
            _ = evicted => return,
        };
        self.awaiting_command.borrow_mut().remove(&connection_id);
        let read = read.unwrap_or(Err(CommandError::Unfinished));
        let answer = match read.and_then(|()| AdminCommand::parse(&line)) {
            Ok(command) => self.execute(command).await,
            Err(error) => Err(error.into()),
        };
        let answer = match answer {
            Ok(text) => format!("done {text}\n"),
            Err(error) => format!("error {error}\n"),
        };
        // There is nobody to report an error to: an operator that does not take the answer has
        // disconnected.
        let _ = tokio::time::timeout(LINGERING_CLOSE_TIMEOUT, write_answer(stream, &answer)).await;
    }

    /// Executes a command. Commands that can change something are logged with their answer, the others are
    /// not.
    async fn execute(&self, command: AdminCommand<'_>) -> Result<Cow<'static, str>, AdminError> {
        let answer = match command {
            AdminCommand::Ready if self.frontend.ready().is_ok() => return Ok("takes clients".into()),
            AdminCommand::Ready => return Err(AdminError::NotReady),
            AdminCommand::Counters => return Ok(self.driver.counters.text().into()),
            AdminCommand::Disable(id) => self.disable(id).await,
            AdminCommand::Enable(id) => self.enable(id).await,
            AdminCommand::Drain => self.frontend.drain().map(drain_text).map_err(AdminError::from),
            AdminCommand::Resume => self.frontend.resume().map(resume_text).map_err(AdminError::from),
        };
        match &answer {
            Ok(text) => log::line(&format!("console: {command:?}: {text}")),
            Err(error) => log::line(&format!("console: {command:?}: {error}")),
        }
        answer.map(Cow::Borrowed)
    }

    async fn disable(&self, id: &str) -> Result<&'static str, AdminError> {
        let has_changed = self.set_disabled(id, true).await?;
        Ok(if has_changed { "out of service" } else { "out of service already" })
    }

    async fn enable(&self, id: &str) -> Result<&'static str, AdminError> {
        let has_changed = self.set_disabled(id, false).await?;
        Ok(if has_changed { "in service again, cold" } else { "was not out of service" })
    }

    /// Returns whether the command changed anything. If the node hands over between processes, the change
    /// is stored durably before this returns.
    async fn set_disabled(&self, id: &str, disable: bool) -> Result<bool, AdminError> {
        let endpoint = self.driver.find_endpoint(id).ok_or(AdminError::UnknownEndpoint)?;
        match &self.takeover {
            Some(takeover) => Ok(takeover.set_disabled(&self.driver, endpoint, disable).await?),
            None => Ok(self.driver.set_disabled(endpoint, disable)),
        }
    }
}

fn drain_text(change: DrainChange) -> &'static str {
    match change {
        DrainChange::Drained => "drained: clients are sent away",
        DrainChange::AlreadyDrained => "drained already",
    }
}

fn resume_text(change: ResumeChange) -> &'static str {
    match change {
        ResumeChange::Resumed => "takes clients again",
        ResumeChange::WasNotDrained => "was not drained",
    }
}

/// Appends the first line that is received to `line`, without its line break. Discards what was received
/// after it.
async fn read_line(stream: &mut Socket, line: &mut Vec<u8>) -> Result<(), CommandError> {
    let mut buffer = [0; MAX_COMMAND_BYTES];
    loop {
        let read = AsyncReadExt::read(stream, &mut buffer).await.map_err(|_| CommandError::Unfinished)?;
        let piece = buffer.get(..read).filter(|piece| !piece.is_empty()).ok_or(CommandError::Unfinished)?;
        let end = piece.iter().position(|byte| *byte == b'\n');
        line.extend_from_slice(piece.get(..end.unwrap_or(read)).unwrap_or(piece));
        if line.len() >= MAX_COMMAND_BYTES {
            return Err(CommandError::TooLong);
        }
        if end.is_some() {
            return Ok(());
        }
    }
}

/// Writes an answer, then reads and discards input until the operator closes the connection.
async fn write_answer(mut stream: Socket, answer: &str) -> std::io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    let mut discarded = [0; MAX_COMMAND_BYTES];
    while AsyncReadExt::read(&mut stream, &mut discarded).await? > 0 {}
    Ok(())
}
