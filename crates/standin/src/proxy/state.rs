//! State of the proxy, owned by its state thread.

use indexmap::IndexMap;

use super::link::ProxyLink;
use crate::ids::LinkName;

/// All links by name.
#[derive(Default)]
pub(super) struct ProxyState {
    pub(super) links: IndexMap<LinkName, ProxyLink>,
}
