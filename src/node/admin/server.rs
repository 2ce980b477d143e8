//! Calls of the operators' staff: a line to a connection, and a line that begins with `done` or `error` back.
//!
//! A call is read whole before anything is done about it. Callers are few and never wait behind clients: their
//! descriptors are kept free, and when all places are taken whoever has been silent for longest goes.

use crate::driver::Driver;
use crate::frontend::server::Server;
use crate::observability::log;
use crate::snapshot::takeover::{OverrideError, Takeover};
use crate::system::socket::{Descriptors, Socket};
use crate::system::syscall_errors::{AcceptError, Acceptor};
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Callers at a time.
pub const MAX_CONNECTIONS: usize = 16;
/// A call with its line's end is no longer than this.
const MAX_LENGTH: usize = 256;
/// Whoever has not brought a whole call by then is told so and closed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// What a caller still sends behind its call is read for so long, lest the answer be lost to a reset.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
const BACKLOG: u32 = 128;

/// What may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand<'a> {
    /// Does this process take clients?
    Ready,
    /// Nothing more to this backend.
    Disable(&'a str),
    /// This backend may serve again.
    Enable(&'a str),
    /// Empty the node.
    Drain,
    /// Back to work.
    Resume,
    /// What has this process done so far?
    Counters,
}

/// Why a line is no call.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// It never ended.
    #[error("no whole line came")]
    Unfinished,
    /// It is too long to be one.
    #[error("the line is longer than {MAX_LENGTH} bytes")]
    TooLong,
    /// It cannot be read.
    #[error("the line is not text")]
    NoText,
    /// There is nothing in it.
    #[error("the line is empty")]
    Empty,
    /// Its first word is unknown.
    #[error(
        "unknown call {0:?}; there are ready, disable-server ID, enable-server ID, drain, resume and counters"
    )]
    Unknown(String),
    /// It wants an id.
    #[error("{0} wants the id of a server")]
    NoId(&'static str),
    /// There are words too many.
    #[error("words too many behind {0}")]
    Extra(&'static str),
}

/// Why a call was not carried out.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The line is none.
    #[error(transparent)]
    CommandError(#[from] CommandError),
    /// It names a server that nobody knows.
    #[error("no server of this id is on the list or out of service")]
    UnknownServer,
    /// It cannot be kept for the next process.
    #[error(transparent)]
    OverrideError(#[from] OverrideError),
    /// The node is in no state for it.
    #[error("{0}")]
    State(&'static str),
}

impl<'a> AdminCommand<'a> {
    /// Reads a line without its end.
    pub fn parse(line: &'a [u8]) -> Result<AdminCommand<'a>, CommandError> {
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NoText)?;
        if text.chars().any(|c| c.is_control() && !c.is_whitespace()) {
            return Err(CommandError::NoText);
        }
        let mut words = text.split_whitespace();
        let name = words.next().ok_or(CommandError::Empty)?;
        let mut id = |of| words.next().ok_or(CommandError::NoId(of));
        let (call, of) = match name {
            "ready" => (AdminCommand::Ready, "ready"),
            "disable-server" => (AdminCommand::Disable(id("disable-server")?), "disable-server ID"),
            "enable-server" => (AdminCommand::Enable(id("enable-server")?), "enable-server ID"),
            "drain" => (AdminCommand::Drain, "drain"),
            "resume" => (AdminCommand::Resume, "resume"),
            "counters" => (AdminCommand::Counters, "counters"),
            other => return Err(CommandError::Unknown(other.chars().take(40).collect())),
        };
        if words.next().is_some() { Err(CommandError::Extra(of)) } else { Ok(call) }
    }
}

/// The operators' side of the node.
pub struct AdminServer {
    driver: Rc<Driver>,
    server: Rc<Server>,
    /// Where another process may run beside this one.
    handover: Option<Rc<Takeover>>,
    descriptors: Rc<Descriptors>,
    /// Who has brought no whole call yet, the oldest first. Dropping the handle is the notice to go.
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    open: Cell<usize>,
    next: Cell<u64>,
}

/// A caller's place, given up however its task ends.
struct Place(Rc<AdminServer>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.waiting.borrow_mut().remove(&self.1);
    }
}

impl AdminServer {
    /// A console that nobody has called yet.
    pub fn new(
        driver: Rc<Driver>,
        server: Rc<Server>,
        handover: Option<Rc<Takeover>>,
        descriptors: Rc<Descriptors>,
    ) -> Rc<AdminServer> {
        let (waiting, open, next) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Rc::new(AdminServer { driver, server, handover, descriptors, waiting, open, next })
    }

    /// Where callers come.
    pub fn bind(at: SocketAddr) -> std::io::Result<TcpListener> {
        let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    }

    /// Takes callers for as long as the node lives.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let acceptor = Acceptor::new(listener, Some(Instant::now()));
        loop {
            match acceptor.accept().await {
                Ok(stream) => self.receive(stream),
                Err(error) => {
                    log::line(&format!("console: accept: {error}"));
                    if matches!(error, AcceptError::OutOfDescriptors) {
                        self.descriptors.relieve();
                    }
                    acceptor.pause(&error).await;
                }
            }
        }
    }

    fn receive(self: &Rc<Self>, stream: TcpStream) {
        if self.open.get() >= MAX_CONNECTIONS && self.waiting.borrow_mut().pop_first().is_none() {
            // All are being answered, which takes a moment: this one may call again.
            return;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.set(self.open.get() + 1);
        let (stay, gone) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, stay);
        let place = Place(self.clone(), number);
        let socket = Socket::new(stream, self.descriptors.take_own());
        spawn_local(async move {
            place.0.converse(socket, number, gone).await;
            drop(place);
        });
    }

    async fn converse(&self, mut stream: Socket, number: u64, gone: oneshot::Receiver<()>) {
        let mut line = Vec::new();
        let read = tokio::select! {
            read = tokio::time::timeout(COMMAND_TIMEOUT, whole_line(&mut stream, &mut line)) => read,
            _ = gone => return,
        };
        self.waiting.borrow_mut().remove(&number);
        let call = match read {
            Ok(Ok(())) => AdminCommand::parse(&line),
            Ok(Err(wrong)) => Err(wrong),
            Err(_) => Err(CommandError::Unfinished),
        };
        let answer = match call {
            Ok(call) => self.carry_out(call).await,
            Err(wrong) => Err(AdminError::CommandError(wrong)),
        };
        let answer = match answer {
            Ok(text) => format!("done {text}\n"),
            Err(refusal) => format!("error {refusal}\n"),
        };
        let telling = async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            let mut scrap = [0; MAX_LENGTH];
            while AsyncReadExt::read(&mut stream, &mut scrap).await? > 0 {}
            Ok::<_, std::io::Error>(())
        };
        // A caller that does not take its answer has gone.
        let _ = tokio::time::timeout(LINGERING_CLOSE_TIMEOUT, telling).await;
    }

    async fn carry_out(&self, call: AdminCommand<'_>) -> Result<Cow<'static, str>, AdminError> {
        let answer = match call {
            AdminCommand::Ready if self.server.ready().is_ok() => return Ok("takes clients".into()),
            AdminCommand::Ready => return Err(AdminError::State("takes no clients")),
            AdminCommand::Counters => return Ok(self.driver.counters.text().into()),
            AdminCommand::Disable(id) => match self.set_disabled(id, true).await {
                Ok(true) => Ok("out of service"),
                Ok(false) => Ok("out of service already"),
                Err(refusal) => Err(refusal),
            },
            AdminCommand::Enable(id) => match self.set_disabled(id, false).await {
                Ok(true) => Ok("in service again, cold"),
                Ok(false) => Ok("was not out of service"),
                Err(refusal) => Err(refusal),
            },
            AdminCommand::Drain => self.server.drain().map_err(AdminError::State),
            AdminCommand::Resume => self.server.resume().map_err(AdminError::State),
        };
        let answer = answer.map(Cow::Borrowed);
        match &answer {
            Ok(text) => log::line(&format!("console: {call:?}: {text}")),
            Err(refusal) => log::line(&format!("console: {call:?}: {refusal}")),
        }
        answer
    }

    /// True if the call changed anything. Where a later process may take over, the change is kept for it before this
    /// returns.
    async fn set_disabled(&self, uid: &str, disable: bool) -> Result<bool, AdminError> {
        let endpoint = self.driver.endpoint(uid).ok_or(AdminError::UnknownServer)?;
        match &self.handover {
            Some(handover) => Ok(handover.change(&self.driver, endpoint, disable).await?),
            None => Ok(self.driver.set_disabled(endpoint, disable)),
        }
    }
}

/// Reads up to the first line's end, which is not kept.
async fn whole_line(stream: &mut Socket, line: &mut Vec<u8>) -> Result<(), CommandError> {
    let mut piece = [0; MAX_LENGTH];
    loop {
        let n = AsyncReadExt::read(stream, &mut piece).await.map_err(|_| CommandError::Unfinished)?;
        let piece = piece.get(..n).filter(|p| !p.is_empty()).ok_or(CommandError::Unfinished)?;
        let end = piece.iter().position(|b| *b == b'\n');
        line.extend_from_slice(piece.get(..end.unwrap_or(n)).unwrap_or(piece));
        if line.len() >= MAX_LENGTH {
            return Err(CommandError::TooLong);
        }
        if end.is_some() {
            return Ok(());
        }
    }
}
