//! Reports the outcomes of granted requests to the control thread for the comparison of versions.

use std::sync::Arc;
use std::time::Instant;

use super::RouterContext;
use super::events::RouterEvent;
use super::version_tracking::VersionCall;
use crate::ids::{RouteId, ServiceId, VersionId};

/// A running call. It is not counted if the caller disconnects before its end.
pub struct RunningCall {
    context: Arc<RouterContext>,
    service: ServiceId,
    route: RouteId,
    version: VersionId,
    granted: Instant,
}

impl RunningCall {
    /// Creates the call of a request that was granted at `granted`.
    pub fn new(
        context: &Arc<RouterContext>,
        service: &ServiceId,
        route: &RouteId,
        version: VersionId,
        granted: Instant,
    ) -> Self {
        let (context, service) = (Arc::clone(context), service.clone());
        Self { context, service, route: route.clone(), version, granted }
    }

    /// Reports the end of the call.
    pub fn finish(self, failed: bool) {
        let call = VersionCall {
            service: self.service,
            route: self.route,
            version: self.version,
            failed,
            latency: self.granted.elapsed(),
        };
        // With a full channel the outcome is dropped; it is one of many.
        let _ = self.context.control.try_send(RouterEvent::VersionCallEnded(call));
    }
}
