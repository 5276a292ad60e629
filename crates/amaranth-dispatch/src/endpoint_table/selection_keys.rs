//! Keys of what an engine holds, loads or has cached, by which most engines are passed over without a
//! look at their contents.

use smallvec::SmallVec;

use crate::engine_view::{EngineContents, EngineView, HeldAdapter, adapter_key};

/// Number of words of the filter of cached adapters. With 36 adapters in 256 bits, one engine in eight
/// is looked at in vain.
const FILTER_WORDS: usize = 4;

/// The keys of the models and adapters with which an engine can serve a call soon.
#[derive(Debug, Clone, Default)]
pub(super) struct SelectionKeys {
    held: SmallVec<[u64; 10]>,
    cached: [u64; FILTER_WORDS],
}

impl SelectionKeys {
    /// Returns the keys of an engine's contents, of loads that this entry requested, and of what its
    /// agent's view states as cached.
    pub(super) fn new(
        contents: &EngineContents,
        pending_loads: &[HeldAdapter],
        view: Option<&EngineView>,
    ) -> Self {
        let models = contents.models.iter().map(|model| adapter_key(model, None));
        let adapters = contents
            .adapters
            .iter()
            .chain(&contents.loading)
            .chain(pending_loads)
            .map(|held| adapter_key(&held.model, Some(&held.name)));
        let mut cached = [0; FILTER_WORDS];
        for key in view.iter().flat_map(|view| &view.cached) {
            let (word, bit) = position(*key);
            cached[word] |= bit;
        }
        Self {
            held: models.chain(adapters).collect(),
            cached,
        }
    }

    /// Returns whether the engine holds or loads what a key identifies, or possibly has it cached.
    pub(super) fn may_serve(&self, key: u64) -> bool {
        let (word, bit) = position(key);
        self.cached[word] & bit != 0 || self.held.contains(&key)
    }
}

const fn position(key: u64) -> (usize, u64) {
    let bit = key % (64 * FILTER_WORDS as u64);
    ((bit / 64) as usize, 1 << (bit % 64))
}
