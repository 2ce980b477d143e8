//! Makes HTTP calls to discovery.
//!
//! Each call asks which endpoints have changed after a version of the list. With `wait_ms` above 0 the
//! call is a long poll, here called a watch: discovery responds at the next update, or after that time.
//!
//! A service or an agent may stop responding while its connections stay open, and the caller cannot tell
//! such a watch from one without an update. So [`DiscoveryClient`] makes further calls in parallel to an
//! open one. In push mode it repeats a call that takes too long and uses the first response. In poll mode
//! it checks at long intervals, by calls that do not wait, whether the open watch has missed an update.

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

/// For how long a watch waits for an update in poll mode: the longest wait that the protocol allows. The
/// node is expected to know a change 2 s after the end of this wait, even if the watch missed the change.
const POLL_WAIT: Duration = Duration::from_secs(60);
/// Timeout of a response in poll mode, beyond the wait. The service may queue a call, and fails it after
/// 2 s in the queue. If a call gets no response, the node receives the changes that it missed with the
/// response to the next call. With a longer timeout, that response could arrive after the node is expected
/// to know the changes.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Timeout of a connection attempt in poll mode.
const POLL_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// For how long a watch waits for an update in push mode. Calls to an agent cost nothing, and with a
/// short wait the node soon detects an agent that has stopped responding. Once the agent responds again,
/// the node is expected to know at once the changes that the agent then has.
const PUSH_WAIT: Duration = Duration::from_millis(150);
/// Timeout of a response in push mode, beyond the wait. A healthy agent responds at once; the timeout
/// allows for a slow one.
const PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a connection attempt in push mode. An agent that does not accept a connection within this
/// time is down.
const PUSH_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the wait at which a call to an agent that has not responded is first repeated in parallel.
/// An agent may never respond to calls that it received while it was unresponsive.
const PUSH_REPEAT_AFTER: Duration = Duration::from_millis(100);
/// Time between two repeats of a call to an agent that has not responded.
const PUSH_REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of checks that are made in parallel to a watch without updates, before the watch is renewed.
const CHECKS_PER_WATCH: u32 = 2;
/// A failed check is repeated after a pause of about 0.5 s: the check interval divided by this number.
const FAILED_CHECK_RETRY_DIVISOR: u32 = 32;
/// Maximum size of a connection's buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Largest accepted response body, in bytes. A full list may be much larger than a client's request.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Why a call did not return an endpoint list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection was not established.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection was lost, or the response is not valid or not complete.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response was not complete within the timeout.
    #[error("timed out waiting for the response")]
    TimedOut(#[from] Elapsed),
    /// The HTTP request could not be built.
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The response has a status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The body of the response is not valid JSON.
    #[error("the response is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is JSON but not an endpoint list, or every entry of the list is invalid.
    #[error("the response is not an endpoint list, or has no valid entry")]
    InvalidList,
}

impl DiscoveryError {
    /// Returns `true` if discovery did not respond in time, or sent a response that is not valid. Returns
    /// `false` if it refused the connection or the call, or if the connection was lost.
    pub fn is_timeout_or_invalid_response(&self) -> bool {
        matches!(
            self,
            DiscoveryError::TimedOut(_)
                | DiscoveryError::Connect(ConnectError::TimedOut)
                | DiscoveryError::Exchange(ExchangeError::Malformed | ExchangeError::Stalled)
                | DiscoveryError::Json(_)
                | DiscoveryError::InvalidList
        )
    }

    /// Returns `true` if this machine could not begin to connect, which says nothing about discovery.
    pub fn is_local_failure(&self) -> bool {
        matches!(self, DiscoveryError::Connect(ConnectError::Local(_)))
    }
}

/// A kind of call to discovery.
#[derive(Clone, Copy, Debug)]
pub enum CallKind {
    /// Requests the changes up to now, without waiting for an update. Without a version, the call
    /// requests the full list.
    CatchUp,
    /// Waits for the next update. Without a version, the call requests the full list and does not wait.
    Watch {
        /// Time between two checks, which are calls in parallel to a watch without updates.
        check_interval: Duration,
    },
}

/// The result of a call that did not fail.
pub enum CallOutcome {
    /// Discovery sent a list. It may be empty if nothing has changed.
    List(EndpointList),
    /// The watch and all its checks brought no update. The caller must start a new watch.
    WatchExpired,
}

/// The time limits of a call.
struct CallTimeouts {
    /// For how long discovery waits for an update before it responds to a watch.
    wait: Duration,
    /// Timeout of the response, beyond `wait`.
    response: Duration,
    /// Timeout of the connection attempt.
    connect: Duration,
}

fn timeouts(mode: DiscoveryMode) -> CallTimeouts {
    match mode {
        DiscoveryMode::Push => {
            CallTimeouts { wait: PUSH_WAIT, response: PUSH_RESPONSE_TIMEOUT, connect: PUSH_CONNECT_TIMEOUT }
        }
        DiscoveryMode::Poll => {
            CallTimeouts { wait: POLL_WAIT, response: POLL_RESPONSE_TIMEOUT, connect: POLL_CONNECT_TIMEOUT }
        }
    }
}

/// A call to an agent that is in progress.
type AgentCall<'a> = Pin<Box<dyn Future<Output = Result<AgentResponse, DiscoveryError>> + 'a>>;

/// The list that an agent sent, and the connection it was received on.
struct AgentResponse {
    list: EndpointList,
    connection: Option<UpstreamConnection>,
}

/// A client of discovery, which keeps one connection open between calls.
pub struct DiscoveryClient {
    mode: DiscoveryMode,
    timeouts: CallTimeouts,
    names: Rc<NameIndex>,
    descriptors: Rc<Descriptors>,
    connection: Option<UpstreamConnection>,
}

impl DiscoveryClient {
    /// Creates a client that has no connection yet.
    pub fn new(mode: DiscoveryMode, names: Rc<NameIndex>, descriptors: Rc<Descriptors>) -> DiscoveryClient {
        DiscoveryClient { mode, timeouts: timeouts(mode), names, descriptors, connection: None }
    }

    /// Closes the connection that is kept open between calls, if there is one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Calls discovery at `address` for the changes after `version`, or for the full list if `version` is
    /// `None`.
    ///
    /// # Errors
    /// Returns why discovery did not send a list. A failed check does not fail the call.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        version: Option<u64>,
        kind: CallKind,
    ) -> Result<CallOutcome, DiscoveryError> {
        let mut main_connection = self.connection.take();
        let mut check_connection = None;
        let watch = match (version, kind) {
            (Some(version), CallKind::Watch { check_interval }) => Some((version, check_interval)),
            _ => None,
        };
        let wait = if watch.is_some() { self.timeouts.wait } else { Duration::ZERO };
        let checks = async {
            match watch {
                Some((version, interval)) => {
                    self.check_during_watch(address, &mut check_connection, version, interval).await
                }
                None => std::future::pending().await,
            }
        };
        let timeout = wait + self.timeouts.response;
        let main_call =
            tokio::time::timeout(timeout, self.fetch_list(address, &mut main_connection, version, wait));
        let (outcome, connection) = tokio::select! {
            list = main_call => (CallOutcome::List(list??), main_connection),
            outcome = checks => (outcome, check_connection),
        };
        self.connection = connection;
        Ok(outcome)
    }

    /// Requests the list. In push mode, repeats the call in parallel if the agent does not respond soon,
    /// and returns the first list. Fails if all calls that are in progress have failed.
    async fn fetch_list(
        &self,
        address: SocketAddr,
        connection: &mut Option<UpstreamConnection>,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<EndpointList, DiscoveryError> {
        if self.mode == DiscoveryMode::Poll {
            return self.exchange(address, connection, version, wait).await;
        }
        let start_call = |mut connection: Option<UpstreamConnection>, wait| -> AgentCall<'_> {
            Box::pin(async move {
                let list = self.exchange(address, &mut connection, version, wait).await?;
                Ok(AgentResponse { list, connection })
            })
        };
        let mut calls = vec![start_call(connection.take(), wait)];
        let first_repeat = tokio::time::Instant::now() + wait + PUSH_REPEAT_AFTER;
        let mut repeats = tokio::time::interval_at(first_repeat, PUSH_REPEAT_INTERVAL);
        loop {
            tokio::select! {
                biased;
                result = first_completed(&mut calls) => match result {
                    Ok(response) => {
                        *connection = response.connection;
                        return Ok(response.list);
                    }
                    Err(error) if calls.is_empty() => return Err(error),
                    Err(_) => {}
                },
                _ = repeats.tick() => calls.push(start_call(None, Duration::ZERO)),
            }
        }
    }

    /// Checks for updates in parallel to a watch. Without the checks, the node would not detect before
    /// the end of the watch that the watch has missed a change, or that the service has restarted its
    /// version numbers.
    async fn check_during_watch(
        &self,
        address: SocketAddr,
        connection: &mut Option<UpstreamConnection>,
        version: u64,
        interval: Duration,
    ) -> CallOutcome {
        for _ in 0..CHECKS_PER_WATCH {
            tokio::time::sleep(interval).await;
            let list = self.check_until_success(address, connection, version, interval).await;
            if list.has_news(version) {
                return CallOutcome::List(list);
            }
        }
        tokio::time::sleep(interval).await;
        CallOutcome::WatchExpired
    }

    /// Makes one check, and repeats it after a short pause until it succeeds. If a check fails, the watch
    /// is still open but may not get a response either, so the next check must not wait for a whole
    /// interval.
    async fn check_until_success(
        &self,
        address: SocketAddr,
        connection: &mut Option<UpstreamConnection>,
        version: u64,
        interval: Duration,
    ) -> EndpointList {
        loop {
            let call = self.exchange(address, connection, Some(version), Duration::ZERO);
            match tokio::time::timeout(POLL_RESPONSE_TIMEOUT, call).await {
                Ok(Ok(list)) => return list,
                Ok(Err(_)) | Err(_) => tokio::time::sleep(interval / FAILED_CHECK_RETRY_DIVISOR).await,
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, DiscoveryError> {
        let deadline = Instant::now() + self.timeouts.connect;
        let permit = self.descriptors.take_without_waiting();
        Ok(UpstreamConnection::open(address, deadline, permit, MAX_BUFFER_BYTES).await?)
    }

    /// Sends one request and receives its response, on `kept_connection` if that is alive and on a new
    /// connection otherwise. Leaves the connection in `kept_connection` if the response is a valid list.
    async fn exchange(
        &self,
        address: SocketAddr,
        kept_connection: &mut Option<UpstreamConnection>,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<EndpointList, DiscoveryError> {
        let path = match version {
            None => "/discovery/hosts".to_owned(),
            Some(version) => format!("/discovery/hosts?after={version}&wait_ms={}", wait.as_millis()),
        };
        let request = Request::get(path).header(HOST, address.to_string()).body(UpstreamBody::empty())?;
        let mut connection = match kept_connection.take().filter(UpstreamConnection::is_alive) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        let response = connection.exchange(request, MAX_RESPONSE_BYTES, self.timeouts.response).await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        let json = serde_json::from_slice(response.body())?;
        let list = EndpointList::parse(&json, &self.names).ok_or(DiscoveryError::InvalidList)?;
        *kept_connection = Some(connection);
        Ok(list)
    }
}

/// Waits until one of the calls completes, and removes it. If several are complete, takes the first in
/// the vector.
async fn first_completed(calls: &mut Vec<AgentCall<'_>>) -> Result<AgentResponse, DiscoveryError> {
    poll_fn(|cx| {
        let completed =
            calls.iter_mut().enumerate().find_map(|(index, call)| match call.as_mut().poll(cx) {
                Poll::Ready(result) => Some((index, result)),
                Poll::Pending => None,
            });
        match completed {
            Some((index, result)) => {
                drop(calls.swap_remove(index));
                Poll::Ready(result)
            }
            None => Poll::Pending,
        }
    })
    .await
}
