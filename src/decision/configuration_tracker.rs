//! Decides which configuration version a node adopts and whether it may serve with it.
//!
//! A node only adopts higher versions. After a restart it has no state, so it serves only once the
//! store has confirmed its version, or several peers while the store is down.

use indexmap::IndexMap;

use crate::ids::{ConfigurationVersion, NodeId};

/// Number of peers that must have reported a version before a node that cannot reach the store
/// serves.
///
/// A single peer could be partitioned with an old version. The case that two peers are partitioned
/// together with this node is covered by the isolation check.
pub const CONFIRMING_PEERS: usize = 2;

/// Version that a node without a confirmed configuration advertises.
pub const NO_VERSION: ConfigurationVersion = 0;

/// Source of a reported version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// The table service.
    Store,
    /// A peer, which only advertises versions that it has confirmed itself.
    Peer(NodeId),
}

/// What to do with a reported version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionAction {
    /// The current version is the same or newer, so keep it.
    Keep,
    /// The reported version is newer, so fetch its document from the source.
    Fetch,
}

/// Current configuration version of a node, and the versions that its peers reported.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationTracker {
    version: ConfigurationVersion,
    confirmed: bool,
    peers: IndexMap<NodeId, ConfigurationVersion>,
}

impl ConfigurationTracker {
    /// Resumes with a version that this process has already confirmed.
    pub fn resume(version: ConfigurationVersion) -> Self {
        Self { version, confirmed: version != NO_VERSION, peers: IndexMap::new() }
    }

    /// Returns the current version, or [`NO_VERSION`] before the first.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Returns the version to advertise to peers. An unconfirmed version is not advertised, so that
    /// it does not confirm the version of others.
    pub fn advertised(&self) -> ConfigurationVersion {
        if self.confirmed { self.version } else { NO_VERSION }
    }

    /// Records a version that the store or a peer reported.
    pub fn observe(
        &mut self,
        version: ConfigurationVersion,
        source: &VersionSource,
    ) -> VersionAction {
        if version == NO_VERSION {
            return VersionAction::Keep;
        }
        if let VersionSource::Peer(peer) = source {
            let highest = self.peers.entry(peer.clone()).or_default();
            *highest = version.max(*highest);
        }
        if version > self.version {
            return VersionAction::Fetch;
        }
        // The store never loses a version, so an older one is from a delayed response and does not
        // confirm anything.
        self.confirmed |= *source == VersionSource::Store && version == self.version;
        VersionAction::Keep
    }

    /// Adopts the version of a fetched document, and returns whether it replaces the current one.
    pub fn adopt(&mut self, version: ConfigurationVersion, source: &VersionSource) -> bool {
        if self.observe(version, source) == VersionAction::Keep {
            return false;
        }
        self.version = version;
        self.confirmed |= *source == VersionSource::Store;
        true
    }

    /// Confirms the version by peers while the store is down, and returns whether it is confirmed.
    ///
    /// Peers with a lower version count too, because no newer version has reached them. A peer with
    /// a higher version prevents the confirmation until that version is adopted.
    pub fn confirm_by_peers(&mut self) -> bool {
        let newest = self.peers.values().copied().max().unwrap_or(NO_VERSION);
        let enough = self.peers.len() >= CONFIRMING_PEERS;
        self.confirmed |= self.version != NO_VERSION && enough && newest <= self.version;
        self.confirmed
    }

    /// Returns whether the node may serve with the current version.
    pub fn may_serve(&self) -> bool {
        self.confirmed
    }
}
