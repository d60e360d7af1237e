//! Helpers for addresses and waiting.

use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for a condition to hold.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// Returns an address with any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Polls `condition` until it holds; fails the test after [`DEADLINE`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(DEADLINE, waiting).await;
    assert!(waited.is_ok(), "timed out after {DEADLINE:?}: {what}");
}
