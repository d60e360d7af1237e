//! Reports a granted request's outcome to the control thread, for the comparison of versions.

use std::sync::Arc;
use std::time::Instant;

use super::RouterContext;
use super::events::RouterEvent;
use super::version_tracking::VersionCall;
use crate::ids::{RouteId, ServiceId, VersionId};

/// A call that runs; it is not counted when the caller leaves before its end.
pub struct RunningCall {
    context: Arc<RouterContext>,
    service: ServiceId,
    route: RouteId,
    version: VersionId,
    granted: Instant,
}

impl RunningCall {
    /// Starts when an agent was granted the request.
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

    /// Reports the end of the answer, or the failure.
    pub fn finish(self, failed: bool) {
        let call = VersionCall {
            service: self.service,
            route: self.route,
            version: self.version,
            failed,
            latency: self.granted.elapsed(),
        };
        // A full channel loses one outcome of many.
        let _ = self.context.control.try_send(RouterEvent::VersionCallEnded(call));
    }
}
