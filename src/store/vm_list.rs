//! Client of the platform's list of live and leaving VMs. The list lags behind the actual state.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use super::http_client::{PlatformClient, PlatformError};
use crate::ids::{DataCentreId, NodeId, ServiceId, UpstreamId, VersionId};

/// Role of the process that a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// The VM runs a router.
    Router,
    /// The VM runs an agent beside an upstream.
    Agent,
}

/// State of a VM as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// Labels that operators set on the VM of an upstream.
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

/// Entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VmEntry {
    /// Name of the VM.
    pub id: String,
    /// Name of the process that it runs.
    pub node: NodeId,
    /// Role of the process.
    pub role: VmRole,
    /// Peer address of the process.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// State of the VM.
    pub state: VmState,
    /// Labels of the VM.
    #[serde(default)]
    pub labels: VmLabels,
}

/// Operations that the system requires of a VM list.
pub trait VmList: Send + Sync {
    /// Failure of a call.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Reads the complete list.
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
            _ => Err(reply.into_error()),
        }
    }
}
