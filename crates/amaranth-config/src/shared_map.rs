//! A map whose clones share every page that has not changed since.
//!
//! It is a hash trie: four-way branches over small leaves. A clone copies one pointer, and a
//! change copies the pages on one path, so its cost does not depend on how much the map holds.

use std::iter;
use std::sync::Arc;

use amaranth_core::digest::hash64;

/// Values that a leaf holds before it is split.
///
/// A leaf is sorted by hash and key, which with the branches' order makes the order of iteration
/// that of the hashes, whatever the history of the map.
const LEAF_CAPACITY: usize = 16;

/// Bits of the hash that choose the child of one branch.
const BRANCH_BITS: u32 = 2;

/// Children of one branch.
const BRANCH_WIDTH: usize = 1 << BRANCH_BITS;

/// Levels after which the hash is used up and leaves grow without being split.
const MAX_LEVELS: u32 = u64::BITS / BRANCH_BITS;

/// A value that carries its own key.
pub trait KeyedValue: Clone {
    /// Returns the key.
    fn key(&self) -> &str;
}

/// A map from names to values that carry them.
#[derive(Debug, Clone)]
pub struct SharedMap<V> {
    root: Arc<Page<V>>,
    len: usize,
}

#[derive(Debug, Clone)]
enum Page<V> {
    Leaf(Vec<V>),
    Branch([Arc<Page<V>>; BRANCH_WIDTH]),
}

/// Returns the index of the child for `hash` at `level`, taking the highest bits first.
const fn child_index(hash: u64, level: u32) -> usize {
    (hash >> (u64::BITS - BRANCH_BITS * (level + 1))) as usize % BRANCH_WIDTH
}

fn key_hash(key: &str) -> u64 {
    hash64(0, key.as_bytes())
}

impl<V> Default for SharedMap<V> {
    fn default() -> Self {
        Self {
            root: Arc::new(Page::Leaf(Vec::new())),
            len: 0,
        }
    }
}

impl<V: KeyedValue> SharedMap<V> {
    /// Returns the number of values.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the map holds no value.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value with `key`.
    pub fn get(&self, key: &str) -> Option<&V> {
        let hash = key_hash(key);
        let mut page = &*self.root;
        let mut level = 0;
        loop {
            match page {
                Page::Leaf(values) => return values.iter().find(|value| value.key() == key),
                Page::Branch(children) => page = &children[child_index(hash, level)],
            }
            level += 1;
        }
    }

    /// Puts `value` in the place of the one with its key, which is returned.
    pub fn insert(&mut self, value: V) -> Option<V> {
        let hash = key_hash(value.key());
        let replaced = Arc::make_mut(&mut self.root).insert(hash, 0, value);
        self.len += usize::from(replaced.is_none());
        replaced
    }

    /// Removes and returns the value with `key`.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        // A miss must not copy the path.
        self.get(key)?;
        let removed = Arc::make_mut(&mut self.root).remove(key_hash(key), 0, key);
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// Returns the values in an order that depends on their keys alone.
    pub fn iter(&self) -> impl Iterator<Item = &V> {
        let mut pending = vec![&*self.root];
        let mut leaf = [].iter();
        iter::from_fn(move || {
            loop {
                if let Some(value) = leaf.next() {
                    return Some(value);
                }
                match pending.pop()? {
                    Page::Leaf(values) => leaf = values.iter(),
                    Page::Branch(children) => {
                        pending.extend(children.iter().rev().map(|child| &**child));
                    }
                }
            }
        })
    }
}

impl<V: KeyedValue> Page<V> {
    fn insert(&mut self, hash: u64, level: u32, value: V) -> Option<V> {
        let values = match self {
            Self::Branch(children) => {
                let child = &mut children[child_index(hash, level)];
                return Arc::make_mut(child).insert(hash, level + 1, value);
            }
            Self::Leaf(values) => values,
        };
        if let Some(known) = values.iter_mut().find(|known| known.key() == value.key()) {
            return Some(std::mem::replace(known, value));
        }
        // Leaves are many and small, so they hold no spare room.
        values.reserve_exact(1);
        let index = values
            .partition_point(|known| (key_hash(known.key()), known.key()) < (hash, value.key()));
        values.insert(index, value);
        if values.len() > LEAF_CAPACITY && level < MAX_LEVELS {
            let values = std::mem::take(values);
            *self = Self::split(values, level);
        }
        None
    }

    /// Distributes the values of a full leaf over the children of a branch.
    fn split(values: Vec<V>, level: u32) -> Self {
        let mut leaves: [Vec<V>; BRANCH_WIDTH] = Default::default();
        for value in values {
            let leaf = &mut leaves[child_index(key_hash(value.key()), level)];
            leaf.reserve_exact(1);
            leaf.push(value);
        }
        Self::Branch(leaves.map(|leaf| Arc::new(Self::Leaf(leaf))))
    }

    fn remove(&mut self, hash: u64, level: u32, key: &str) -> Option<V> {
        match self {
            Self::Branch(children) => {
                let child = &mut children[child_index(hash, level)];
                Arc::make_mut(child).remove(hash, level + 1, key)
            }
            Self::Leaf(values) => {
                let index = values.iter().position(|value| value.key() == key)?;
                let removed = values.remove(index);
                values.shrink_to_fit();
                Some(removed)
            }
        }
    }
}
