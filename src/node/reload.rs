//! Reads the configuration again on SIGHUP. Where discovery is may change under way; all else holds from
//! start to end.

use crate::config::{Config, ConfigError};
use crate::observability::log;
use crate::system::retry::retry;
use crate::system::signals::SignalReceiver;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// A file that cannot be read, or is incomplete, may be readable in a moment: so often it is tried, and so
/// far apart.
const READ_ATTEMPTS: u32 = 5;
const READ_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Runs for as long as the node lives. A file that is wrong changes nothing.
pub async fn run(mut hangup: SignalReceiver, discovery: watch::Sender<SocketAddr>) {
    loop {
        hangup.recv().await;
        match read_with_retries().await {
            Ok(config) => {
                log::line(&format!("configuration read again: discovery is at {}", config.discovery));
                discovery.send_replace(config.discovery);
            }
            Err(error) => log::line(&format!("configuration kept as it was: {error}")),
        }
    }
}

async fn read_with_retries() -> Result<Config, ConfigError> {
    let mut retries = 1..READ_ATTEMPTS;
    retry(READ_RETRY_PAUSE, Config::reload, |_| retries.next().is_some()).await
}
