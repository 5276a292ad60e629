//! Which adapters one engine holds, and the order that its agent gives next.
//!
//! One order is under way at a time, and each names the count of orders that it expects the
//! engine to have accepted. An order without an answer is settled by the engine's own report:
//! until the count has moved on, it may still be carried out, and whatever is ordered next bears
//! the same count, so that at most one of the two is.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use amaranth_core::time::Timestamp;
use strum::Display;

use crate::engine_view::{
    EngineContents, EngineView, LoadOutcome, LoadWish, UsageReport, adapter_key,
};

/// Age at which an entry's report of its use counts no longer: it stopped or can't be reached.
const USAGE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Loads that may be on their way to one engine at once.
const MAX_COMING: usize = 4;

/// Time after a refused order before the next one.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);

/// Time after an order without an answer before the next one.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(5);

/// Time for which a freshly loaded adapter is not given up: the calls that wanted it are on their
/// way.
const FRESH_TIME: Duration = Duration::from_millis(200);

/// Change of the number of unread prompts that entries are told of at once.
const TOLD_CHANGE: u32 = 3;

/// Adapters that an engine keeps at hand after it dropped them, in multiples of its places. They
/// load again in a fraction of the time and without the weight store.
const REMEMBERED_PER_PLACE: usize = 6;

/// Time for which an adapter that the engine did not drop when ordered to is not given up again:
/// a run that the agent does not know of uses it.
const HELD_BACK_TIME: Duration = Duration::from_millis(1_500);

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShelfOrder {
    /// Load a model's weights.
    LoadModel(ModelName),
    /// Load an adapter, in a version if one is given, else in the newest.
    LoadAdapter(ModelName, AdapterName, Option<u64>),
    /// Drop an adapter.
    DropAdapter(ModelName, AdapterName),
}

/// An order with what guards it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardedOrder {
    /// The order.
    pub order: ShelfOrder,
    /// The start of the engine that is meant.
    pub endpoint: EndpointId,
    /// The count of accepted orders that the engine must be at.
    pub expected_count: u64,
}

/// What the engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAnswer {
    /// It is being carried out, or was at once.
    Accepted,
    /// It holds already.
    HeldAlready,
    /// It was refused: the count differs or another order is under way.
    Conflict,
    /// It was refused for another reason.
    Refused,
    /// Nothing is known of it.
    Unanswered,
}

/// Identifies a wish that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WishId(u64);

#[derive(Debug)]
struct WaitingWish {
    id: WishId,
    wish: LoadWish,
    until: Timestamp,
}

/// Decides on the adapters of one engine.
#[derive(Debug, Default)]
pub struct AdapterShelf {
    endpoint: Option<EndpointId>,
    contents: Option<EngineContents>,
    usage: HashMap<String, (Timestamp, UsageReport)>,
    last_used: HashMap<(ModelName, AdapterName), Timestamp>,
    held_back: HashMap<(ModelName, AdapterName), Timestamp>,
    remembered: Vec<u64>,
    places: usize,
    ordered: Option<ShelfOrder>,
    waiting: Vec<WaitingWish>,
    wishes: u64,
    under_way: bool,
    stale: bool,
    pause_until: Timestamp,
    revision: u64,
    told_unread: u32,
}

impl AdapterShelf {
    /// Returns the endpoint that the shelf stands for, once an entry named it.
    pub const fn endpoint(&self) -> Option<&EndpointId> {
        self.endpoint.as_ref()
    }

    /// Returns whether wishes wait.
    pub const fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether loads are on their way, as far as the last report says.
    pub fn has_coming(&self) -> bool {
        self.contents
            .as_ref()
            .is_some_and(|contents| !contents.coming.is_empty() || contents.busy)
    }

    /// Returns whether the last report is out of date since an order was given.
    pub const fn is_stale(&self) -> bool {
        self.stale
    }

    /// Takes the engine's own report.
    pub fn observe(&mut self, now: Timestamp, contents: EngineContents) {
        self.stale = false;
        self.hold_back_undropped(now, &contents);
        self.remember(&contents);
        for held in &contents.adapters {
            self.last_used
                .entry((held.model.clone(), held.name.clone()))
                .or_insert(now);
        }
        self.last_used.retain(|(model, name), _| {
            contents
                .adapters
                .iter()
                .any(|held| held.is_for(model, name))
        });
        let changed = self.contents.as_ref().is_none_or(|known| {
            known.adapters != contents.adapters
                || known.coming != contents.coming
                || known.models != contents.models
                || known.started_ms != contents.started_ms
        });
        let load_moved = contents.unread.abs_diff(self.told_unread) >= TOLD_CHANGE;
        if changed || load_moved {
            self.revision += 1;
            self.told_unread = contents.unread;
        }
        self.contents = Some(contents);
    }

    /// Notes an adapter that was ordered to be dropped and is still there.
    fn hold_back_undropped(&mut self, now: Timestamp, contents: &EngineContents) {
        if let Some(ShelfOrder::DropAdapter(model, name)) = self.ordered.take()
            && contents.holds(&model, &name, None)
        {
            self.held_back.insert((model, name), now + HELD_BACK_TIME);
        }
        self.held_back.retain(|_, until| *until > now);
    }

    /// Moves what the engine holds to the newest end of what it keeps at hand.
    fn remember(&mut self, contents: &EngineContents) {
        let started = self.contents.as_ref().map(|known| known.started_ms);
        if started.is_some_and(|started| started != contents.started_ms) {
            self.remembered.clear();
        }
        let known = self.contents.as_ref().map(|known| &known.adapters);
        if known == Some(&contents.adapters) {
            return;
        }
        for held in &contents.adapters {
            let key = adapter_key(&held.model, Some(&held.name));
            self.remembered.retain(|known| *known != key);
            self.remembered.push(key);
        }
        let kept = self.places.max(1) * REMEMBERED_PER_PLACE;
        let excess = self.remembered.len().saturating_sub(kept);
        self.remembered.drain(..excess);
    }

    /// Forgets the engine's contents: it can't be reached.
    pub fn lose_engine(&mut self) {
        if self.contents.take().is_some() {
            self.revision += 1;
        }
    }

    /// Takes an entry's use of the engine.
    ///
    /// A report that means an earlier start of the engine than the one that answers is ignored:
    /// the registry lists an endpoint for some time after it has ended.
    pub fn take_usage(&mut self, now: Timestamp, report: UsageReport) {
        if self.is_of_earlier_start(&report) {
            return;
        }
        if self.endpoint.as_ref() != Some(&report.endpoint) {
            self.endpoint = Some(report.endpoint.clone());
            self.usage.clear();
            self.revision += 1;
        }
        for used in &report.uses {
            self.last_used
                .insert((used.model.clone(), used.name.clone()), now);
        }
        self.usage.insert(report.entry.clone(), (now, report));
    }

    /// Returns what entries are told.
    pub fn view(&self, now: Timestamp) -> EngineView {
        let mut in_use: Vec<(ModelName, AdapterName)> = self
            .live_usage(now)
            .flat_map(|report| &report.uses)
            .filter(|used| used.calls > 0)
            .map(|used| (used.model.clone(), used.name.clone()))
            .collect();
        in_use.sort();
        in_use.dedup();
        EngineView {
            revision: self.revision,
            contents: self.contents.clone().unwrap_or_default(),
            in_use,
            remembered: self.remembered.clone(),
            waiting_loads: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the revision of the view.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the engine is known to hold what a wish asks for.
    pub fn is_held(&self, wish: &LoadWish) -> bool {
        let Some(contents) = &self.contents else {
            return false;
        };
        match &wish.adapter {
            Some(adapter) => contents.holds(&wish.model, adapter, wish.version),
            None => contents.models.contains(&wish.model),
        }
    }

    /// Takes a wish that the engine does not meet yet.
    pub fn ask(&mut self, now: Timestamp, wish: LoadWish) -> WishId {
        self.places = wish.adapter_places as usize;
        self.wishes += 1;
        let id = WishId(self.wishes);
        let until = now + wish.patience;
        self.waiting.push(WaitingWish { id, wish, until });
        id
    }

    /// Takes a wish back.
    pub fn withdraw(&mut self, id: WishId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Returns the wishes that are settled, with what became of them.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(WishId, LoadOutcome)> {
        let mut settled = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for entry in waiting {
            if self.is_held(&entry.wish) {
                self.touch(now, &entry.wish);
                settled.push((entry.id, LoadOutcome::Held));
            } else if self.endpoint.as_ref() != Some(&entry.wish.endpoint) {
                settled.push((entry.id, LoadOutcome::Unavailable));
            } else if entry.until <= now {
                let outcome = if self.find_place(now, &entry.wish).is_none() {
                    LoadOutcome::NoPlace
                } else {
                    LoadOutcome::TimedOut
                };
                settled.push((entry.id, outcome));
            } else {
                self.waiting.push(entry);
            }
        }
        settled
    }

    /// Returns the next order, if one is due and none is under way.
    pub fn next_order(&mut self, now: Timestamp) -> Option<GuardedOrder> {
        if self.under_way || self.stale || now < self.pause_until {
            return None;
        }
        let endpoint = self.endpoint.clone()?;
        let expected_count = self.contents.as_ref()?.order_count;
        let order = self
            .waiting
            .iter()
            .filter(|waiting| !self.is_held(&waiting.wish) && !self.is_coming(&waiting.wish))
            .find_map(|waiting| self.order_for(now, &waiting.wish))?;
        self.under_way = true;
        self.ordered = Some(order.clone());
        Some(GuardedOrder {
            order,
            endpoint,
            expected_count,
        })
    }

    /// Returns the moment until which no order is given, if it is later than `now`.
    pub fn paused_until(&self, now: Timestamp) -> Option<Timestamp> {
        (self.pause_until > now).then_some(self.pause_until)
    }

    /// Takes the engine's answer to the order that was under way.
    pub fn order_ended(&mut self, now: Timestamp, answer: OrderAnswer) {
        self.under_way = false;
        self.stale = true;
        self.pause_until = match answer {
            OrderAnswer::Accepted | OrderAnswer::HeldAlready => now,
            OrderAnswer::Conflict | OrderAnswer::Refused => now + REFUSED_PAUSE,
            OrderAnswer::Unanswered => now + UNANSWERED_PAUSE,
        };
    }

    fn is_of_earlier_start(&self, report: &UsageReport) -> bool {
        let answering = self
            .contents
            .as_ref()
            .and_then(|contents| contents.started_ms);
        report.started_ms.is_some() && answering.is_some() && report.started_ms != answering
    }

    fn touch(&mut self, now: Timestamp, wish: &LoadWish) {
        if let Some(adapter) = &wish.adapter {
            self.last_used
                .insert((wish.model.clone(), adapter.clone()), now);
        }
    }

    fn is_coming(&self, wish: &LoadWish) -> bool {
        let Some(contents) = &self.contents else {
            return false;
        };
        match &wish.adapter {
            Some(adapter) => contents
                .coming
                .iter()
                .any(|held| held.is_for(&wish.model, adapter)),
            None => contents.busy,
        }
    }

    fn order_for(&self, now: Timestamp, wish: &LoadWish) -> Option<ShelfOrder> {
        let contents = self.contents.as_ref()?;
        if !wish.fits_memory {
            return None;
        }
        if !contents.models.contains(&wish.model) {
            return (!contents.busy).then(|| ShelfOrder::LoadModel(wish.model.clone()));
        }
        let adapter = wish.adapter.clone()?;
        if contents.coming.len() >= MAX_COMING {
            return None;
        }
        match self.find_place(now, wish)? {
            Place::Free => Some(ShelfOrder::LoadAdapter(
                wish.model.clone(),
                adapter,
                wish.version,
            )),
            Place::Idle(model, name) => Some(ShelfOrder::DropAdapter(model, name)),
        }
    }

    /// Returns a place for what a wish asks for: a free one, or the adapter that was idle longest.
    fn find_place(&self, now: Timestamp, wish: &LoadWish) -> Option<Place> {
        let contents = self.contents.as_ref()?;
        let replaced = wish
            .adapter
            .as_ref()
            .is_some_and(|adapter| contents.holds(&wish.model, adapter, None));
        let taken = contents.adapters.len() + contents.coming.len();
        if replaced || taken < wish.adapter_places as usize {
            return Some(Place::Free);
        }
        contents
            .adapters
            .iter()
            .filter(|held| !self.is_used(now, &held.model, &held.name))
            .filter(|held| {
                !self
                    .held_back
                    .contains_key(&(held.model.clone(), held.name.clone()))
            })
            .filter(|held| {
                let used = self.last_used.get(&(held.model.clone(), held.name.clone()));
                used.is_none_or(|at| now.since(*at) >= FRESH_TIME)
            })
            .min_by_key(|held| {
                self.last_used
                    .get(&(held.model.clone(), held.name.clone()))
                    .copied()
            })
            .map(|held| Place::Idle(held.model.clone(), held.name.clone()))
    }

    fn is_used(&self, now: Timestamp, model: &ModelName, adapter: &AdapterName) -> bool {
        self.live_usage(now)
            .flat_map(|report| &report.uses)
            .any(|used| used.calls > 0 && used.name == *adapter && used.model == *model)
    }

    fn live_usage(&self, now: Timestamp) -> impl Iterator<Item = &UsageReport> {
        self.usage
            .values()
            .filter(move |(at, _)| now.since(*at) < USAGE_TIMEOUT)
            .map(|(_, report)| report)
    }
}

/// A place for an adapter at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Place {
    Free,
    Idle(ModelName, AdapterName),
}
