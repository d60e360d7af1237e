//! Rendezvous hashing (Thaler and Ravishankar, 1998): all nodes rank the same candidates in the
//! same order without communication.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::NodeId;

/// Returns the weight of a candidate for a purpose. The candidate with the highest weight ranks
/// first.
pub fn rendezvous_weight(purpose: &str, candidate: &str) -> u64 {
    xxh3_64(format!("{purpose}/{candidate}").as_bytes())
}

/// Returns how many of `others` rank before `own` for a purpose.
pub fn rendezvous_rank<'a>(
    purpose: &str,
    own: &str,
    others: impl Iterator<Item = &'a NodeId>,
) -> usize {
    let weight = rendezvous_weight(purpose, own);
    others.filter(|other| rendezvous_weight(purpose, other) > weight).count()
}
