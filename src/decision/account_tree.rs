//! Topology of the account exchange: a tree of nodes in each data centre, whose roots report to
//! each other.
//!
//! Nodes are ranked by rendezvous hash. The first is the root of its data centre, and the others
//! are arranged below it like a heap. A node that does not answer is skipped for a time that
//! doubles with each attempt. A parent always ranks above its children in one global order, so
//! nodes with different views of the members never form a cycle.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DataCentreId, NodeId};

/// Maximum number of children of a root. It is low because a root also reports to the other data
/// centres.
pub const ROOT_FAN_OUT: usize = 2;

/// Maximum number of children of any other node, calculated in `docs/design.md`.
pub const FAN_OUT: usize = 4;

/// Time for which a node is skipped after its first failure to answer.
const INITIAL_SUSPICION: Duration = Duration::from_millis(500);

/// Maximum time for which a node is skipped. It limits the time until the end of a partition is
/// noticed.
const MAX_SUSPICION: Duration = Duration::from_secs(2);

/// Member of the account exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeMember {
    /// Id of the node.
    pub node: NodeId,
    /// Data centre of the node.
    pub data_centre: DataCentreId,
    /// Address of the node's peer endpoint.
    pub address: SocketAddr,
}

/// Suspicion of a node that did not answer: when it ends and how long it lasts.
#[derive(Clone, Copy, Debug)]
struct NodeSuspicion {
    until: Instant,
    duration: Duration,
}

/// Ranked members of all data centres, from which a node derives its parent.
#[derive(Debug)]
pub struct AccountTree {
    own: NodeId,
    data_centre: DataCentreId,
    /// Members of each data centre by rank, including this node.
    ranks: IndexMap<DataCentreId, Vec<ExchangeMember>>,
    suspicions: IndexMap<NodeId, NodeSuspicion>,
}

/// Rank of a node in its data centre; lower comes first.
fn rank<'a>(data_centre: &str, node: &'a str) -> (u64, &'a str) {
    (xxh3_64(format!("{data_centre}/{node}").as_bytes()), node)
}

/// Position of the parent in the ranking, or `None` for the root.
fn parent_position(position: usize) -> Option<usize> {
    match position {
        0 => None,
        position if position <= ROOT_FAN_OUT => Some(0),
        position => Some(1 + (position - ROOT_FAN_OUT - 1) / FAN_OUT),
    }
}

/// Depth of a tree with this number of nodes.
pub fn tree_depth(nodes: usize) -> u32 {
    let last = nodes.saturating_sub(1);
    std::iter::successors(Some(last), |position| parent_position(*position)).skip(1).count() as u32
}

impl AccountTree {
    /// Creates the tree of a node that knows no other nodes.
    pub fn new(own: ExchangeMember) -> Self {
        let (node, data_centre) = (own.node.clone(), own.data_centre.clone());
        let ranks = IndexMap::from([(data_centre.clone(), vec![own])]);
        Self { own: node, data_centre, ranks, suspicions: IndexMap::new() }
    }

    /// Replaces the members. This node always stays a member.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = ExchangeMember>) {
        let own_member =
            self.ranks[&self.data_centre].iter().find(|member| member.node == self.own).cloned();
        let mut ranks: IndexMap<DataCentreId, Vec<ExchangeMember>> = IndexMap::new();
        let others = members.into_iter().filter(|member| member.node != self.own);
        for member in others.chain(own_member) {
            ranks.entry(member.data_centre.clone()).or_default().push(member);
        }
        for (data_centre, members) in &mut ranks {
            members.sort_by(|left, right| {
                rank(data_centre, &left.node).cmp(&rank(data_centre, &right.node))
            });
        }
        ranks.sort_unstable_keys();
        self.suspicions
            .retain(|node, _| ranks.values().flatten().any(|member| member.node == *node));
        self.ranks = ranks;
    }

    /// Data centre of this node.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Parent of this node, or `None` if it is the root of its data centre.
    pub fn parent(&self, now: Instant) -> Option<&ExchangeMember> {
        let members: Vec<&ExchangeMember> = self.ranks[&self.data_centre]
            .iter()
            .filter(|member| member.node == self.own || !self.is_suspected(&member.node, now))
            .collect();
        let position = members.iter().position(|member| member.node == self.own)?;
        parent_position(position).map(|parent| members[parent])
    }

    /// Data centres other than this node's.
    pub fn other_centres(&self) -> impl Iterator<Item = &DataCentreId> {
        self.ranks.keys().filter(|centre| **centre != self.data_centre)
    }

    /// First node by rank of another data centre that is not suspected.
    pub fn root_of(&self, data_centre: &str, now: Instant) -> Option<&ExchangeMember> {
        let members = self.ranks.get(data_centre)?;
        members.iter().find(|member| !self.is_suspected(&member.node, now))
    }

    /// Depth of the tree of the largest data centre.
    pub fn depth(&self) -> u32 {
        let largest = self.ranks.values().map(Vec::len).max().unwrap_or(0);
        tree_depth(largest)
    }

    /// Returns whether this node ranks above another of its data centre.
    pub fn ranks_above(&self, node: &str) -> bool {
        rank(&self.data_centre, &self.own) < rank(&self.data_centre, node)
    }

    /// Suspects a node that did not answer, for twice as long as the last time.
    pub fn suspect(&mut self, node: &NodeId, now: Instant) {
        let duration = self
            .suspicions
            .get(node)
            .map_or(INITIAL_SUSPICION, |suspicion| (suspicion.duration * 2).min(MAX_SUSPICION));
        self.suspicions.insert(node.clone(), NodeSuspicion { until: now + duration, duration });
    }

    /// Clears the suspicion of a node that answered.
    pub fn clear_suspicion(&mut self, node: &str) {
        self.suspicions.shift_remove(node);
    }

    /// Time at which the next suspicion ends.
    pub fn next_suspicion_end(&self, now: Instant) -> Option<Instant> {
        self.suspicions.values().map(|suspicion| suspicion.until).filter(|until| *until > now).min()
    }

    fn is_suspected(&self, node: &str, now: Instant) -> bool {
        self.suspicions.get(node).is_some_and(|suspicion| now < suspicion.until)
    }
}
