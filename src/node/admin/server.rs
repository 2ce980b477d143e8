//! Takes operators' connections and carries their commands out.
//!
//! A command is read completely before anything is done about it. Operators are few and never wait behind
//! clients: their descriptors are reserved, and when all of them are in use the connection that has been
//! silent for longest goes.

use super::command::{AdminCommand, CommandError, MAX_LENGTH};
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

/// Operators' connections at a time.
pub const MAX_CONNECTIONS: usize = 16;
/// A connection that has not sent a complete command by then gets an error and is closed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// What still comes behind a command is read for so long, so that the answer is not lost to a reset.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a command was not carried out.
#[derive(Debug, Error)]
enum AdminError {
    /// The line is none.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// It names an endpoint that nobody knows.
    #[error("no server of this id is on the list or out of service")]
    UnknownEndpoint,
    /// It cannot be stored for the next process.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The process is to end.
    #[error(transparent)]
    Stopping(#[from] Stopping),
    /// The node takes no clients.
    #[error("takes no clients")]
    NotReady,
}

/// The operators' side of the node.
pub struct AdminServer {
    driver: Rc<Driver>,
    frontend: Rc<Frontend>,
    /// Where another process may run alongside this one.
    takeover: Option<Rc<Takeover>>,
    descriptors: Rc<Descriptors>,
    /// Connections that have sent no complete command yet, the oldest first. Dropping the handle closes
    /// one.
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    open: Cell<usize>,
    next_connection: Cell<u64>,
}

/// A connection's place, given up however its task ends.
struct ConnectionPlace {
    server: Rc<AdminServer>,
    number: u64,
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let server = &self.server;
        server.open.set(server.open.get().saturating_sub(1));
        server.waiting.borrow_mut().remove(&self.number);
    }
}

impl AdminServer {
    /// A server that nobody has called yet.
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
            waiting: RefCell::default(),
            open: Cell::new(0),
            next_connection: Cell::new(0),
        })
    }

    /// Takes connections for as long as the node lives.
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

    /// Starts the task that serves a connection, which ends with it.
    fn serve(self: &Rc<Self>, stream: TcpStream) {
        if self.open.get() >= MAX_CONNECTIONS && self.waiting.borrow_mut().pop_first().is_none() {
            // All are being answered, which takes a moment: this one may call again.
            return;
        }
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        self.open.set(self.open.get() + 1);
        let (keep, evicted) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, keep);
        let place = ConnectionPlace { server: self.clone(), number };
        let socket = Socket::new(stream, self.descriptors.take_own());
        spawn_local(async move {
            place.server.converse(socket, number, evicted).await;
            drop(place);
        });
    }

    /// Reads a command, carries it out, and answers.
    async fn converse(&self, mut stream: Socket, number: u64, evicted: oneshot::Receiver<()>) {
        let mut line = Vec::new();
        let read = tokio::select! {
            read = tokio::time::timeout(COMMAND_TIMEOUT, read_line(&mut stream, &mut line)) => read,
            _ = evicted => return,
        };
        self.waiting.borrow_mut().remove(&number);
        let read = read.unwrap_or(Err(CommandError::Unfinished));
        let answer = match read.and_then(|()| AdminCommand::parse(&line)) {
            Ok(command) => self.carry_out(command).await,
            Err(error) => Err(error.into()),
        };
        let answer = match answer {
            Ok(text) => format!("done {text}\n"),
            Err(error) => format!("error {error}\n"),
        };
        // An operator that does not take the answer has gone.
        let _ = tokio::time::timeout(LINGERING_CLOSE_TIMEOUT, write_answer(stream, &answer)).await;
    }

    /// Carries a command out; those that change or may change something are logged with their answer.
    async fn carry_out(&self, command: AdminCommand<'_>) -> Result<Cow<'static, str>, AdminError> {
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

    /// True if the command changed anything. Where a later process may take over, the change is stored for it
    /// before this returns.
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

/// Reads up to the end of the first line, without the line break.
async fn read_line(stream: &mut Socket, line: &mut Vec<u8>) -> Result<(), CommandError> {
    let mut buffer = [0; MAX_LENGTH];
    loop {
        let read = AsyncReadExt::read(stream, &mut buffer).await.map_err(|_| CommandError::Unfinished)?;
        let piece = buffer.get(..read).filter(|piece| !piece.is_empty()).ok_or(CommandError::Unfinished)?;
        let end = piece.iter().position(|byte| *byte == b'\n');
        line.extend_from_slice(piece.get(..end.unwrap_or(read)).unwrap_or(piece));
        if line.len() >= MAX_LENGTH {
            return Err(CommandError::TooLong);
        }
        if end.is_some() {
            return Ok(());
        }
    }
}

/// Writes an answer and reads what still comes, up to the other side's close.
async fn write_answer(mut stream: Socket, answer: &str) -> std::io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    let mut discarded = [0; MAX_LENGTH];
    while AsyncReadExt::read(&mut stream, &mut discarded).await? > 0 {}
    Ok(())
}
