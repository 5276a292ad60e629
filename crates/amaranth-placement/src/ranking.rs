//! Rendezvous hashing, by which all entries rank endpoints alike without communication.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{AdapterRef, EndpointId};
use smallvec::SmallVec;

/// Returns the hash that an endpoint contributes to scores; callers cache it for each endpoint.
pub fn endpoint_hash(endpoint: &EndpointId) -> u64 {
    hash64(0, endpoint.as_str().as_bytes())
}

/// Returns the hash that an adapter contributes to scores.
pub fn adapter_hash(adapter: &AdapterRef) -> u64 {
    hash64(adapter.version.0, adapter.name.as_str().as_bytes())
}

/// Returns the score of an endpoint for an adapter; the highest ranks first.
///
/// The score is the SplitMix64 finalizer of both hashes. This is cheap enough to be computed for
/// every endpoint at each request.
pub const fn score(adapter_hash: u64, endpoint_hash: u64) -> u64 {
    let mut mixed = adapter_hash ^ endpoint_hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the `count` items with the highest scores, in descending order.
pub fn first_ranked<T: Copy + Ord>(
    scored: impl Iterator<Item = (u64, T)>,
    count: usize,
) -> SmallVec<[T; 8]> {
    let mut highest: BinaryHeap<Reverse<(u64, T)>> = BinaryHeap::with_capacity(count + 1);
    for item in scored {
        if highest.len() < count {
            highest.push(Reverse(item));
        } else if highest.peek().is_some_and(|Reverse(lowest)| item > *lowest) {
            highest.pop();
            highest.push(Reverse(item));
        }
    }
    let mut ranked: SmallVec<[(u64, T); 8]> =
        highest.into_iter().map(|Reverse(item)| item).collect();
    ranked.sort_unstable_by_key(|&item| Reverse(item));
    ranked.into_iter().map(|(_, item)| item).collect()
}
