//! The platform's lagging list of live and leaving VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use super::http_client::{PlatformClient, PlatformError};
use crate::ids::{DataCentreId, NodeId, ServiceId, UpstreamId, VersionId};

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// A router.
    Router,
    /// An agent beside an upstream.
    Agent,
}

/// What the platform knows about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Runs.
    Live,
    /// Is about to stop.
    Leaving,
}

/// Labels that operators put on an upstream's VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLabels {
    /// Service of the upstream.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Name of the upstream.
    #[serde(default)]
    pub upstream: Option<UpstreamId>,
    /// Version that the upstream runs.
    #[serde(default)]
    pub version: Option<VersionId>,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VmEntry {
    /// Name of the VM.
    pub id: String,
    /// Process that it runs.
    pub node: NodeId,
    /// Role of the process.
    pub role: VmRole,
    /// Peer address of the process.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// State.
    pub state: VmState,
    /// Labels.
    #[serde(default)]
    pub labels: VmLabels,
}

/// What the system needs of a VM list.
pub trait VmList: Send + Sync {
    /// Failure of a call.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<Vec<VmEntry>, Self::Error>> + Send;
}

/// The platform's VM list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: PlatformClient,
}

#[derive(Deserialize)]
struct ListBody {
    vms: Vec<VmEntry>,
}

impl HttpVmList {
    /// Creates a client for the list at `base`.
    pub fn new(base: &Uri, timeout: Duration) -> Self {
        Self { client: PlatformClient::new(base, timeout) }
    }
}

impl VmList for HttpVmList {
    type Error = PlatformError;

    async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let reply = self.client.send(Method::GET, "/vms", Bytes::new()).await?;
        match reply.status {
            StatusCode::OK => reply.decode::<ListBody>().map(|body| body.vms),
            _ => Err(reply.refuse()),
        }
    }
}
