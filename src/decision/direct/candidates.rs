//! The few upstreams that are considered for a call.
//!
//! Reports of other routers are old when they are used. If every router compared all upstreams,
//! all of them would send to the one that looked idle, until the next report. Comparing a few
//! upstreams drawn for each call spreads them: "The Power of Two Choices in Randomized Load
//! Balancing" (Mitzenmacher, 2001) and "How Useful Is Old Information?" (Mitzenmacher, 2000).

use indexmap::IndexMap;

use super::call::{ArrivingCall, PromptShape};
use super::load::UpstreamLoad;
use crate::ids::UpstreamId;

/// Upstreams that all routers prefer for a prompt part.
pub(super) const PREFERRED_UPSTREAMS: usize = 2;

/// Upstreams that are drawn for one call.
const DRAWN_UPSTREAMS: usize = 2;

/// Upstreams that a call may be sent to, by their index; valid until the fleet changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateSet {
    preferred: [Option<usize>; PREFERRED_UPSTREAMS],
    drawn: [Option<usize>; DRAWN_UPSTREAMS],
}

impl CandidateSet {
    /// Picks among the usable upstreams those that every router prefers for the call's prompt
    /// part, and some that are drawn for this call alone.
    pub(super) fn of_call(
        call: &ArrivingCall,
        upstreams: &IndexMap<UpstreamId, UpstreamLoad>,
        usable: &[usize],
    ) -> Self {
        let part = call.prompt.as_ref().and_then(PromptShape::affinity_part);
        let seed = call.fingerprint ^ call.id;
        Self {
            preferred: part.map_or([None; PREFERRED_UPSTREAMS], |part| {
                highest(usable, |index| upstreams[index].affinity(part))
            }),
            drawn: highest(usable, |index| upstreams[index].affinity(seed)),
        }
    }

    /// Indices of the upstreams, each once.
    pub(super) fn indices(&self) -> impl Iterator<Item = usize> {
        let drawn = self.drawn.iter().flatten().filter(|index| self.rank(**index).is_none());
        self.preferred.iter().flatten().chain(drawn).copied()
    }

    /// Returns whether there is no upstream at all.
    pub(super) fn is_empty(&self) -> bool {
        self.indices().next().is_none()
    }

    /// Place of an upstream among the preferred ones.
    pub(super) fn rank(&self, index: usize) -> Option<usize> {
        self.preferred.iter().position(|preferred| *preferred == Some(index))
    }
}

/// The indices with the highest weights, by rendezvous hashing.
fn highest<const N: usize>(usable: &[usize], weight: impl Fn(usize) -> u64) -> [Option<usize>; N] {
    let mut first: [Option<(u64, usize)>; N] = [None; N];
    for index in usable {
        let mut candidate = Some((weight(*index), *index));
        for place in &mut first {
            if candidate > *place {
                std::mem::swap(place, &mut candidate);
            }
        }
    }
    first.map(|place| place.map(|(_, index)| index))
}
