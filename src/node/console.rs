//! Calls of the operators' staff: a line to a connection, and a line that begins with `done` or `error` back.
//!
//! A call is read whole before anything is done about it. Callers are few and never wait behind clients: their
//! descriptors are kept free, and when all places are taken whoever has been silent for longest goes.

use crate::driver::Driver;
use crate::handover::{Handover, NotKept};
use crate::log;
use crate::server::Server;
use crate::socket::{Descriptors, Socket};
use crate::system::{AcceptError, Acceptor};
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
pub const CALLERS: usize = 16;
/// A call with its line's end is no longer than this.
const LONGEST: usize = 256;
/// Whoever has not brought a whole call by then is told so and closed.
const PATIENCE: Duration = Duration::from_secs(3);
/// What a caller still sends behind its call is read for so long, lest the answer be lost to a reset.
const LINGER: Duration = Duration::from_millis(200);
const BACKLOG: u32 = 128;

/// What may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
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
pub enum NoCall {
    /// It never ended.
    #[error("no whole line came")]
    Unfinished,
    /// It is too long to be one.
    #[error("the line is longer than {LONGEST} bytes")]
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
pub enum Refusal {
    /// The line is none.
    #[error(transparent)]
    NoCall(#[from] NoCall),
    /// It names a server that nobody knows.
    #[error("no server of this id is on the list or out of service")]
    UnknownServer,
    /// It cannot be kept for the next process.
    #[error(transparent)]
    NotKept(#[from] NotKept),
    /// The node is in no state for it.
    #[error("{0}")]
    State(&'static str),
}

impl<'a> Call<'a> {
    /// Reads a line without its end.
    pub fn parse(line: &'a [u8]) -> Result<Call<'a>, NoCall> {
        let text = std::str::from_utf8(line).map_err(|_| NoCall::NoText)?;
        if text.chars().any(|c| c.is_control() && !c.is_whitespace()) {
            return Err(NoCall::NoText);
        }
        let mut words = text.split_whitespace();
        let name = words.next().ok_or(NoCall::Empty)?;
        let mut id = |of| words.next().ok_or(NoCall::NoId(of));
        let (call, of) = match name {
            "ready" => (Call::Ready, "ready"),
            "disable-server" => (Call::Disable(id("disable-server")?), "disable-server ID"),
            "enable-server" => (Call::Enable(id("enable-server")?), "enable-server ID"),
            "drain" => (Call::Drain, "drain"),
            "resume" => (Call::Resume, "resume"),
            "counters" => (Call::Counters, "counters"),
            other => return Err(NoCall::Unknown(other.chars().take(40).collect())),
        };
        if words.next().is_some() { Err(NoCall::Extra(of)) } else { Ok(call) }
    }
}

/// The operators' side of the node.
pub struct Console {
    driver: Rc<Driver>,
    server: Rc<Server>,
    /// Where another process may run beside this one.
    handover: Option<Rc<Handover>>,
    descriptors: Rc<Descriptors>,
    /// Who has brought no whole call yet, the oldest first. Dropping the handle is the notice to go.
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    open: Cell<usize>,
    next: Cell<u64>,
}

/// A caller's place, given up however its task ends.
struct Place(Rc<Console>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.waiting.borrow_mut().remove(&self.1);
    }
}

impl Console {
    /// A console that nobody has called yet.
    pub fn new(
        driver: Rc<Driver>,
        server: Rc<Server>,
        handover: Option<Rc<Handover>>,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Console> {
        let (waiting, open, next) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Rc::new(Console { driver, server, handover, descriptors, waiting, open, next })
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
        if self.open.get() >= CALLERS && self.waiting.borrow_mut().pop_first().is_none() {
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
            read = tokio::time::timeout(PATIENCE, whole_line(&mut stream, &mut line)) => read,
            _ = gone => return,
        };
        self.waiting.borrow_mut().remove(&number);
        let call = match read {
            Ok(Ok(())) => Call::parse(&line),
            Ok(Err(wrong)) => Err(wrong),
            Err(_) => Err(NoCall::Unfinished),
        };
        let answer = match call {
            Ok(call) => self.carry_out(call).await,
            Err(wrong) => Err(Refusal::NoCall(wrong)),
        };
        let answer = match answer {
            Ok(text) => format!("done {text}\n"),
            Err(refusal) => format!("error {refusal}\n"),
        };
        let telling = async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            let mut scrap = [0; LONGEST];
            while AsyncReadExt::read(&mut stream, &mut scrap).await? > 0 {}
            Ok::<_, std::io::Error>(())
        };
        // A caller that does not take its answer has gone.
        let _ = tokio::time::timeout(LINGER, telling).await;
    }

    async fn carry_out(&self, call: Call<'_>) -> Result<Cow<'static, str>, Refusal> {
        let answer = match call {
            Call::Ready if self.server.ready().is_ok() => return Ok("takes clients".into()),
            Call::Ready => return Err(Refusal::State("takes no clients")),
            Call::Counters => return Ok(self.driver.counters.text().into()),
            Call::Disable(id) => match self.set_disabled(id, true).await {
                Ok(true) => Ok("out of service"),
                Ok(false) => Ok("out of service already"),
                Err(refusal) => Err(refusal),
            },
            Call::Enable(id) => match self.set_disabled(id, false).await {
                Ok(true) => Ok("in service again, cold"),
                Ok(false) => Ok("was not out of service"),
                Err(refusal) => Err(refusal),
            },
            Call::Drain => self.server.drain().map_err(Refusal::State),
            Call::Resume => self.server.resume().map_err(Refusal::State),
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
    async fn set_disabled(&self, uid: &str, disable: bool) -> Result<bool, Refusal> {
        let backend = self.driver.backend(uid).ok_or(Refusal::UnknownServer)?;
        match &self.handover {
            Some(handover) => Ok(handover.change(&self.driver, backend, disable).await?),
            None => Ok(self.driver.set_disabled(backend, disable)),
        }
    }
}

/// Reads up to the first line's end, which is not kept.
async fn whole_line(stream: &mut Socket, line: &mut Vec<u8>) -> Result<(), NoCall> {
    let mut piece = [0; LONGEST];
    loop {
        let n = AsyncReadExt::read(stream, &mut piece).await.map_err(|_| NoCall::Unfinished)?;
        let piece = piece.get(..n).filter(|p| !p.is_empty()).ok_or(NoCall::Unfinished)?;
        let end = piece.iter().position(|b| *b == b'\n');
        line.extend_from_slice(piece.get(..end.unwrap_or(n)).unwrap_or(piece));
        if line.len() >= LONGEST {
            return Err(NoCall::TooLong);
        }
        if end.is_some() {
            return Ok(());
        }
    }
}
