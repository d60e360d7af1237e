//! Stand-in for the platform's load balancer: new connections go only to routers that are ready.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::OptionExt;
use http::Method;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::client::HttpClient;

/// Interval between two readiness checks of a router.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a check, after which the router, for example a paused one, counts as not ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for a connection to get a ready router.
const CHOOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks the readiness of routers and chooses one of the ready routers for each connection.
pub struct RouterBalancer {
    ready: watch::Sender<Vec<SocketAddr>>,
    checks: Vec<JoinHandle<()>>,
}

impl RouterBalancer {
    /// Starts to check the routers at the given caller addresses.
    ///
    /// Each router is checked by its own task, so that one that does not answer delays no check of
    /// another. A router that is no longer ready stops getting new connections within
    /// `CHECK_INTERVAL` plus `CHECK_TIMEOUT`, plus scheduling delays on a busy machine; its
    /// drain delay must be longer than that.
    pub fn start(routers: Vec<SocketAddr>) -> Self {
        let ready = watch::Sender::new(routers.clone());
        let checks =
            routers.into_iter().map(|router| tokio::spawn(check_router(router, ready.clone())));
        Self { checks: checks.collect(), ready }
    }

    /// Returns the router for the connection with the given number, round-robin over the ready
    /// routers. While none is ready the connection waits up to `CHOOSE_TIMEOUT`, as it would at
    /// a real balancer: on a loaded machine even a ready router may answer its checks late.
    pub async fn choose(&self, number: u64) -> eyre::Result<SocketAddr> {
        let mut watch = self.ready.subscribe();
        let waiting = watch.wait_for(|ready| !ready.is_empty());
        let ready = tokio::time::timeout(CHOOSE_TIMEOUT, waiting).await;
        let ready =
            ready.map_err(|_| eyre::eyre!("no router was ready within {CHOOSE_TIMEOUT:?}"))??;
        let count = u64::try_from(ready.len())?;
        let index = number.checked_rem(count).ok_or_eyre("no router is ready")?;
        Ok(ready[usize::try_from(index)?])
    }
}

async fn check_router(router: SocketAddr, ready_routers: watch::Sender<Vec<SocketAddr>>) {
    let client = HttpClient::default();
    loop {
        let is_ready = is_ready(&client, router).await;
        ready_routers.send_if_modified(|ready| {
            let was_ready = ready.contains(&router);
            match (was_ready, is_ready) {
                (true, false) => ready.retain(|other| *other != router),
                (false, true) => ready.push(router),
                _ => {}
            }
            was_ready != is_ready
        });
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

impl Drop for RouterBalancer {
    fn drop(&mut self) {
        self.checks.iter().for_each(JoinHandle::abort);
    }
}

/// Returns whether a process answers 200 on `/readyz`.
pub(super) async fn is_ready(client: &HttpClient, router: SocketAddr) -> bool {
    let check = client.call(Method::GET, router, "/readyz", &Value::Null);
    let answer = tokio::time::timeout(CHECK_TIMEOUT, check).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}
