//! Selects the few upstreams that are considered for a call.
//!
//! Reports of other routers are out of date when they are used. If every router compared all
//! upstreams, all of them would send to the one that looked idle until the next report. Comparing a
//! few upstreams sampled per call spreads the load: "The Power of Two Choices in Randomized Load
//! Balancing" (Mitzenmacher, 2001) and "How Useful Is Old Information?" (Mitzenmacher, 2000).

use indexmap::IndexMap;

use super::call::{PendingCall, PromptShape};
use super::load::UpstreamLoad;
use crate::ids::UpstreamId;

/// Number of upstreams that all routers prefer for a prompt part.
pub(super) const PREFERRED_UPSTREAMS: usize = 2;

/// Number of upstreams that are sampled for one call.
const SAMPLED_UPSTREAMS: usize = 2;

/// Number of upstreams below which a set that compared as many as usual would compare most of them.
const FEW_UPSTREAMS: usize = 6;

/// Indices of the upstreams that a call may be sent to; valid until the fleet changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateSet {
    preferred: [Option<usize>; PREFERRED_UPSTREAMS],
    sampled: [Option<usize>; SAMPLED_UPSTREAMS],
}

impl CandidateSet {
    /// Selects from the usable upstreams those that every router prefers for the call's prompt
    /// part, and some that are sampled for this call alone.
    pub(super) fn for_call(
        call: &PendingCall,
        upstreams: &IndexMap<UpstreamId, UpstreamLoad>,
        usable: &[usize],
    ) -> Self {
        let part = call.prompt.as_ref().and_then(PromptShape::affinity_part);
        let seed = call.fingerprint ^ call.id;
        Self {
            preferred: part.map_or([None; PREFERRED_UPSTREAMS], |part| {
                top_weighted(usable, |index| upstreams[index].affinity(part))
            }),
            sampled: top_weighted(usable, |index| upstreams[index].affinity(seed)),
        }
    }

    /// Selects like [`Self::for_call`], but samples fewer among a few upstreams, so that routers do
    /// not compare most of them. Calls that share prompt parts still need one besides the preferred
    /// ones, which may be full.
    pub(super) fn for_call_among_few(
        call: &PendingCall,
        upstreams: &IndexMap<UpstreamId, UpstreamLoad>,
        usable: &[usize],
    ) -> Self {
        let set = Self::for_call(call, upstreams, usable);
        let Some(prompt) = call.prompt.as_ref().filter(|prompt| !prompt.parts.is_empty()) else {
            return set;
        };
        if usable.len() >= FEW_UPSTREAMS {
            return set;
        }
        let first = set.sampled[0].filter(|_| !prompt.shared_parts().is_empty());
        Self { sampled: [first, None], ..set }
    }

    /// Returns the index of each upstream once.
    pub(super) fn indices(&self) -> impl Iterator<Item = usize> {
        let sampled = self.sampled.iter().flatten().filter(|index| self.rank(**index).is_none());
        self.preferred.iter().flatten().chain(sampled).copied()
    }

    /// Returns whether the set holds no upstream.
    pub(super) fn is_empty(&self) -> bool {
        self.indices().next().is_none()
    }

    /// Returns the rank of an upstream among the preferred ones.
    pub(super) fn rank(&self, index: usize) -> Option<usize> {
        self.preferred.iter().position(|preferred| *preferred == Some(index))
    }
}

/// Returns the indices with the highest rendezvous hashing weights, in descending order.
fn top_weighted<const N: usize>(
    usable: &[usize],
    weight: impl Fn(usize) -> u64,
) -> [Option<usize>; N] {
    let mut best: [Option<(u64, usize)>; N] = [None; N];
    for index in usable {
        let mut candidate = Some((weight(*index), *index));
        for slot in &mut best {
            if candidate > *slot {
                std::mem::swap(slot, &mut candidate);
            }
        }
    }
    best.map(|slot| slot.map(|(_, index)| index))
}
