//! Calls to discovery, over HTTP.

use super::endpoint_list::EndpointList;
use crate::system::connect::ConnectError;
use crate::system::descriptors::Descriptors;
use crate::upstream::{ExchangeError, UpstreamBody, UpstreamConnection};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::error::Elapsed;
use wheelpath::policy::DiscoveryMode;
use wheelpath::settings_file::NameIndex;

/// With polled discovery a watch waits as long as the protocol allows. A change that a silent watch misses
/// counts as known 2 s after that wait.
const POLL_WAIT: Duration = Duration::from_secs(60);
/// Time for the answer beyond the wait: a call may be queued at the service, which fails it after 2 s. With
/// a longer timeout, a change that a silent call misses would count as known before the next call is
/// answered.
const POLL_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_200);
const POLL_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Calls to an agent are free, and a short wait soon shows one that has fallen silent; changes that it gets
/// when it returns count at once.
const PUSH_WAIT: Duration = Duration::from_millis(150);
/// An agent answers at once, unless it is slow.
const PUSH_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An agent that does not accept a connection by then is down.
const PUSH_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// If an agent has not answered this long after the wait, the call is repeated in parallel, and again at
/// each interval: an agent may never answer calls that came while it was silent.
const PUSH_REPEAT_AFTER: Duration = Duration::from_millis(100);
const PUSH_REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of calls in parallel to a watch without updates; after these the watch is renewed.
const CHECKS_PER_WATCH: u32 = 2;
/// If such a call fails, it is repeated after this fraction of the interval, about half a second.
const FAILED_CHECK_RETRY_PART: u32 = 32;
/// Read buffer, in bytes.
const READ_BUFFER: usize = 64 * 1024;
/// The largest answer, in bytes: a full list may be a great deal larger than a request.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// No connection was made.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection broke, or what came is no answer.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// Nothing came in time.
    #[error("no answer in time")]
    TimedOut(#[from] Elapsed),
    /// The request cannot be written.
    #[error("no request: {0}")]
    Request(#[from] hyper::http::Error),
    /// Discovery refused the call.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer is no JSON.
    #[error("no list: {0}")]
    Json(#[from] serde_json::Error),
    /// The answer is no list, or none of its entries can be read.
    #[error("no list that can be read")]
    NoList,
}

impl DiscoveryError {
    /// Whether discovery was silent: nothing came in time, or nothing that can be read, as opposed to a
    /// refusal.
    pub fn is_silence(&self) -> bool {
        matches!(
            self,
            DiscoveryError::TimedOut(_)
                | DiscoveryError::Connect(ConnectError::TimedOut)
                | DiscoveryError::Exchange(ExchangeError::Malformed)
                | DiscoveryError::Json(_)
                | DiscoveryError::NoList
        )
    }

    /// Whether this machine could not make the call, which says nothing about discovery.
    pub fn is_local(&self) -> bool {
        matches!(self, DiscoveryError::Connect(ConnectError::Local(_)))
    }
}

/// What a call requests.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    /// What has changed by now; the full list where no version is known.
    CatchUp,
    /// The next update. While none comes, other calls ask what changed, at this interval.
    Watch {
        /// Time between two of them.
        check_interval: Duration,
    },
}

/// What a call brought.
pub enum CallOutcome {
    /// A list.
    List(EndpointList),
    /// No update for so long that the watch is to be renewed.
    WatchExpired,
}

/// How long each part of a call may take.
struct CallTimeouts {
    wait: Duration,
    answer: Duration,
    connect: Duration,
}

fn timeouts(mode: DiscoveryMode) -> CallTimeouts {
    match mode {
        DiscoveryMode::Push => {
            CallTimeouts { wait: PUSH_WAIT, answer: PUSH_ANSWER_TIMEOUT, connect: PUSH_CONNECT_TIMEOUT }
        }
        DiscoveryMode::Poll => {
            CallTimeouts { wait: POLL_WAIT, answer: POLL_ANSWER_TIMEOUT, connect: POLL_CONNECT_TIMEOUT }
        }
    }
}

/// A call to an agent in progress.
type RunningCall<'a> = Pin<Box<dyn Future<Output = Result<AgentAnswer, DiscoveryError>> + 'a>>;

/// The list of an agent, and the connection that it came on.
struct AgentAnswer {
    list: EndpointList,
    connection: Option<UpstreamConnection>,
}

/// Makes calls to discovery. It keeps one connection between calls.
pub struct DiscoveryClient {
    mode: DiscoveryMode,
    timeouts: CallTimeouts,
    names: Rc<NameIndex>,
    descriptors: Rc<Descriptors>,
    connection: Option<UpstreamConnection>,
}

impl DiscoveryClient {
    /// A client that has made no call.
    pub fn new(mode: DiscoveryMode, names: Rc<NameIndex>, descriptors: Rc<Descriptors>) -> DiscoveryClient {
        DiscoveryClient { mode, timeouts: timeouts(mode), names, descriptors, connection: None }
    }

    /// Closes the kept-alive connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Makes a call for what changed after a version; without one, for the full list.
    ///
    /// # Errors
    /// No list came, for any reason.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        version: Option<u64>,
        call: Call,
    ) -> Result<CallOutcome, DiscoveryError> {
        let mut main_connection = self.connection.take();
        let mut check_connection = None;
        let watch = match (version, call) {
            (Some(version), Call::Watch { check_interval }) => Some((version, check_interval)),
            _ => None,
        };
        let wait = if watch.is_some() { self.timeouts.wait } else { Duration::ZERO };
        let checked = async {
            match watch {
                Some((version, interval)) => {
                    self.check_beside_watch(address, &mut check_connection, version, interval).await
                }
                None => std::future::pending().await,
            }
        };
        let limit = wait + self.timeouts.answer;
        let asked = tokio::time::timeout(limit, self.ask(address, &mut main_connection, version, wait));
        let (outcome, connection) = tokio::select! {
            answered = asked => (CallOutcome::List(answered??), main_connection),
            checked = checked => (checked, check_connection),
        };
        self.connection = connection;
        Ok(outcome)
    }

    /// Makes a call, and further ones in parallel to an agent that does not answer in time: the first
    /// answer is taken.
    async fn ask(
        &self,
        address: SocketAddr,
        connection: &mut Option<UpstreamConnection>,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<EndpointList, DiscoveryError> {
        if self.mode == DiscoveryMode::Poll {
            return self.exchange(address, connection, version, wait).await;
        }
        let begin = |mut connection: Option<UpstreamConnection>, wait| -> RunningCall<'_> {
            Box::pin(async move {
                let list = self.exchange(address, &mut connection, version, wait).await?;
                Ok(AgentAnswer { list, connection })
            })
        };
        let mut calls = vec![begin(connection.take(), wait)];
        let first_repeat = tokio::time::Instant::now() + wait + PUSH_REPEAT_AFTER;
        let mut repeats = tokio::time::interval_at(first_repeat, PUSH_REPEAT_INTERVAL);
        loop {
            tokio::select! {
                biased;
                ended = first_ended(&mut calls) => match ended {
                    Ok(answer) => {
                        *connection = answer.connection;
                        return Ok(answer.list);
                    }
                    Err(error) if calls.is_empty() => return Err(error),
                    Err(_) => {}
                },
                _ = repeats.tick() => calls.push(begin(None, Duration::ZERO)),
            }
        }
    }

    /// Polls in parallel to a watch without updates. Changes that a silent watch misses, and a service that
    /// counts versions anew, would otherwise show only when the watch ends.
    async fn check_beside_watch(
        &self,
        address: SocketAddr,
        connection: &mut Option<UpstreamConnection>,
        version: u64,
        interval: Duration,
    ) -> CallOutcome {
        for _ in 0..CHECKS_PER_WATCH {
            tokio::time::sleep(interval).await;
            let list = self.check_until_answered(address, connection, version, interval).await;
            if list.has_news(version) {
                return CallOutcome::List(list);
            }
        }
        tokio::time::sleep(interval).await;
        CallOutcome::WatchExpired
    }

    /// Polls until there is an answer. After a refusal or silence the watch is still open but may be silent
    /// too, so the call is repeated soon.
    async fn check_until_answered(
        &self,
        address: SocketAddr,
        connection: &mut Option<UpstreamConnection>,
        version: u64,
        interval: Duration,
    ) -> EndpointList {
        loop {
            let call = self.exchange(address, connection, Some(version), Duration::ZERO);
            match tokio::time::timeout(POLL_ANSWER_TIMEOUT, call).await {
                Ok(Ok(list)) => return list,
                Ok(Err(_)) | Err(_) => tokio::time::sleep(interval / FAILED_CHECK_RETRY_PART).await,
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, DiscoveryError> {
        let deadline = Instant::now() + self.timeouts.connect;
        let permit = self.descriptors.take_without_waiting();
        Ok(UpstreamConnection::open(address, deadline, permit, READ_BUFFER).await?)
    }

    /// One request and its answer, on the kept-alive connection or a new one.
    async fn exchange(
        &self,
        address: SocketAddr,
        kept: &mut Option<UpstreamConnection>,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<EndpointList, DiscoveryError> {
        let path = match version {
            None => "/discovery/hosts".to_owned(),
            Some(version) => format!("/discovery/hosts?after={version}&wait_ms={}", wait.as_millis()),
        };
        let request = Request::get(path).header(HOST, address.to_string()).body(UpstreamBody::empty())?;
        let mut connection = match kept.take().filter(UpstreamConnection::is_alive) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let answer = connection.exchange(request, MAX_ANSWER, self.timeouts.answer).await?;
        if answer.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(answer.status()));
        }
        let json = serde_json::from_slice(answer.body())?;
        let list = EndpointList::parse(&json, &self.names).ok_or(DiscoveryError::NoList)?;
        *kept = Some(connection);
        Ok(list)
    }
}

/// Waits for the first of several calls to end, and removes it.
async fn first_ended(calls: &mut Vec<RunningCall<'_>>) -> Result<AgentAnswer, DiscoveryError> {
    poll_fn(|cx| {
        let ended = calls.iter_mut().enumerate().find_map(|(index, call)| match call.as_mut().poll(cx) {
            Poll::Ready(result) => Some((index, result)),
            Poll::Pending => None,
        });
        match ended {
            Some((index, result)) => {
                drop(calls.swap_remove(index));
                Poll::Ready(result)
            }
            None => Poll::Pending,
        }
    })
    .await
}
