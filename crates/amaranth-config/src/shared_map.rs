//! A persistent map whose clones share all unchanged nodes.
//!
//! The map is a hash trie with four-way branches over small leaves. A clone copies one pointer,
//! and an update copies the nodes on one path, so its cost does not depend on the map's size.

use std::iter;
use std::sync::Arc;

use amaranth_core::digest::hash64;

/// Maximum number of values in a leaf before the leaf is split.
///
/// Leaves are sorted by hash and key. Together with the order of the branches this makes
/// iteration follow the hashes, independently of the order of insertions and removals.
const LEAF_CAPACITY: usize = 16;

/// Bits of the hash that select the child of one branch.
const BRANCH_BITS: u32 = 2;

/// Number of children of one branch.
const BRANCH_WIDTH: usize = 1 << BRANCH_BITS;

/// Number of levels after which all bits of the hash are used and leaves grow without a split.
const MAX_LEVELS: u32 = u64::BITS / BRANCH_BITS;

/// A value that contains its own key.
pub trait KeyedValue: Clone {
    /// Returns the key under which a map stores the value.
    fn key(&self) -> &str;
}

/// A map from string keys to values that contain their keys, with cheap clones.
#[derive(Debug, Clone)]
pub struct SharedMap<V> {
    root: Arc<Node<V>>,
    len: usize,
}

#[derive(Debug, Clone)]
enum Node<V> {
    Leaf(Vec<V>),
    Branch([Arc<Node<V>>; BRANCH_WIDTH]),
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
            root: Arc::new(Node::Leaf(Vec::new())),
            len: 0,
        }
    }
}

impl<V: KeyedValue> SharedMap<V> {
    /// Returns the number of values.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the map contains no values.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value with `key`, if any.
    pub fn get(&self, key: &str) -> Option<&V> {
        let hash = key_hash(key);
        let mut node = &*self.root;
        let mut level = 0;
        loop {
            match node {
                Node::Leaf(values) => return values.iter().find(|value| value.key() == key),
                Node::Branch(children) => node = &children[child_index(hash, level)],
            }
            level += 1;
        }
    }

    /// Inserts `value` and returns the value with the same key that it replaces, if any.
    pub fn insert(&mut self, value: V) -> Option<V> {
        let hash = key_hash(value.key());
        let replaced = Arc::make_mut(&mut self.root).insert(hash, 0, value);
        self.len += usize::from(replaced.is_none());
        replaced
    }

    /// Removes and returns the value with `key`, if any.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        // Checked first, so that a missing key does not copy the path.
        self.get(key)?;
        let removed = Arc::make_mut(&mut self.root).remove(key_hash(key), 0, key);
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// Returns the values in an order that depends only on their keys.
    pub fn iter(&self) -> impl Iterator<Item = &V> {
        let mut pending = vec![&*self.root];
        let mut leaf = [].iter();
        iter::from_fn(move || {
            loop {
                if let Some(value) = leaf.next() {
                    return Some(value);
                }
                match pending.pop()? {
                    Node::Leaf(values) => leaf = values.iter(),
                    Node::Branch(children) => {
                        pending.extend(children.iter().rev().map(|child| &**child));
                    }
                }
            }
        })
    }
}

impl<V: KeyedValue> Node<V> {
    fn insert(&mut self, hash: u64, level: u32, value: V) -> Option<V> {
        let values = match self {
            Self::Branch(children) => {
                let child = &mut children[child_index(hash, level)];
                return Arc::make_mut(child).insert(hash, level + 1, value);
            }
            Self::Leaf(values) => values,
        };
        if let Some(existing) = values.iter_mut().find(|other| other.key() == value.key()) {
            return Some(std::mem::replace(existing, value));
        }
        // Leaves are many and small, so they are kept without spare capacity.
        values.reserve_exact(1);
        let index = values
            .partition_point(|other| (key_hash(other.key()), other.key()) < (hash, value.key()));
        values.insert(index, value);
        if values.len() > LEAF_CAPACITY && level < MAX_LEVELS {
            let values = std::mem::take(values);
            *self = Self::split(values, level);
        }
        None
    }

    /// Returns a branch with the values of an overfull leaf distributed over its children.
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
