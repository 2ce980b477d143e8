//! Reloads the configuration on SIGHUP. Only the address of discovery can change while the node runs; all
//! other settings keep the values that they had at the start.

use crate::config::{Config, ConfigError};
use crate::observability::log;
use crate::snapshot::SharedAddress;
use crate::system::retry::retry;
use crate::system::signals::SignalReceiver;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// The maximum number of attempts to read the configuration. A file that cannot be read or is incomplete may
/// be complete a moment later.
const READ_ATTEMPTS: u32 = 5;
/// The pause between two attempts to read the configuration.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Reloads the configuration at each SIGHUP and sends the address of discovery to `discovery_address`. Also
/// stores it for the other processes of the node, if they share their state. An invalid configuration is logged
/// and changes nothing. Runs as long as the node.
pub async fn run(
    mut hangup: SignalReceiver,
    discovery_address: Rc<watch::Sender<SocketAddr>>,
    shared_address: Option<Rc<SharedAddress>>,
) {
    loop {
        hangup.recv().await;
        match read_with_retries().await {
            Ok(config) => {
                log::line(&format!("configuration reloaded: discovery is at {}", config.discovery));
                discovery_address.send_replace(config.discovery);
                if let Some(shared_address) = &shared_address {
                    shared_address.store_reload(config.discovery);
                }
            }
            Err(error) => {
                log::line(&format!("configuration not reloaded, keeping the current one: {error}"))
            }
        }
    }
}

async fn read_with_retries() -> Result<Config, ConfigError> {
    let mut retries = 1..READ_ATTEMPTS;
    retry(READ_RETRY_PAUSE, Config::reload, |_| retries.next().is_some()).await
}
