//! Rendezvous ranking: every entry ranks the endpoints of an adapter alike without talking.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{AdapterRef, EndpointId};
use smallvec::SmallVec;

/// Returns the part of a rank that an endpoint contributes; it is computed once for each.
pub fn endpoint_hash(endpoint: &EndpointId) -> u64 {
    hash64(0, endpoint.as_str().as_bytes())
}

/// Returns the part of a rank that an adapter contributes.
pub fn adapter_hash(adapter: &AdapterRef) -> u64 {
    hash64(adapter.version.0, adapter.name.as_str().as_bytes())
}

/// Returns the score of an endpoint for an adapter; the highest ranks first.
///
/// It is the finalizer of SplitMix64 over both hashes, which is cheap enough for every endpoint.
pub const fn score(adapter_hash: u64, endpoint_hash: u64) -> u64 {
    let mut mixed = adapter_hash ^ endpoint_hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the `count` items with the highest scores, the first ranked first.
pub fn first_ranked<T: Copy + Ord>(
    scored: impl Iterator<Item = (u64, T)>,
    count: usize,
) -> SmallVec<[T; 8]> {
    let mut best: BinaryHeap<Reverse<(u64, T)>> = BinaryHeap::with_capacity(count + 1);
    for item in scored {
        if best.len() < count {
            best.push(Reverse(item));
        } else if best.peek().is_some_and(|Reverse(least)| item > *least) {
            best.pop();
            best.push(Reverse(item));
        }
    }
    let mut ranked: SmallVec<[(u64, T); 8]> = best.into_iter().map(|Reverse(item)| item).collect();
    ranked.sort_unstable_by_key(|&item| Reverse(item));
    ranked.into_iter().map(|(_, item)| item).collect()
}
