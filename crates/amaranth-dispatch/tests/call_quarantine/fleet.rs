//! A simulated fleet: entries that send calls to engines, engines that crash on one part of prompts or
//! on one request, and a store through which entries exchange findings.

use std::collections::{BTreeMap, BTreeSet};

use amaranth_core::time::WallTime;
use amaranth_dispatch::call::CallProperty;
use amaranth_dispatch::call_quarantine::{CallQuarantine, CrashReport, EntryFindings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{BAD, BAD_REQUEST, STEP, part, request};

/// The number of steps of a play.
const STEPS: u64 = 400;

/// The step at which the first call with the bad part comes.
const FIRST_BAD_STEP: u64 = 50;

/// The number of steps after the fifth crash from which calls with the bad part count as late, and for
/// which an entry must have been undisturbed to count.
const BOUND_STEPS: u64 = 40;

/// The number of steps between two reads of an entry.
const READ_STEPS: u64 = 20;

/// The number of steps for which a crashed engine is down.
const DOWN_STEPS: u64 = 20;

/// The number of steps after which the answer to a call has survived.
const SURVIVAL_STEPS: u64 = 10;

/// The probability that the agent restarts in a step.
const AGENT_RESTART: f64 = 0.01;

/// The probability that an entry is disturbed in a step.
const DISTURBANCE: f64 = 0.004;

/// Whether entries exchange findings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// Through a store.
    Store,
    /// Through a store and through an agent, which loses its memory now and then.
    StoreAndAgent,
    /// Not at all.
    None,
}

/// What crashes engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadCalls {
    /// Calls with one part in their prompts.
    Part,
    /// One request that is repeated. Calls that a crash broke off are sent once more.
    Request,
}

impl BadCalls {
    const fn property(self) -> CallProperty {
        match self {
            Self::Part => BAD,
            Self::Request => BAD_REQUEST,
        }
    }

    /// Returns the number of the crash from which the bound counts, from 0.
    const fn bound_crash(self) -> usize {
        match self {
            Self::Part => 4,
            Self::Request => 2,
        }
    }
}

/// The size of a fleet and its troubles.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// The number of entries.
    pub entries: usize,
    /// The number of engines.
    pub engines: usize,
    /// Whether entries freeze, are cut off from the store, restart and join late.
    pub faults: bool,
    /// The number of entries that never reach the store.
    pub cut_off: usize,
    /// What crashes engines.
    pub bad: BadCalls,
}

/// What a play showed.
#[derive(Debug, Default)]
pub struct FleetResult {
    /// The number of crashes.
    pub crashes: u64,
    /// The number of bad calls that undisturbed entries sent after the bound.
    pub late_sends: u64,
    /// The number of sound calls at undisturbed entries after twice the bound, which counts from the
    /// last crash if there are too few.
    pub sound_calls: u64,
    /// The number of these that were refused.
    pub sound_refused: u64,
}

/// An entry with its disturbances.
struct FleetEntry {
    quarantine: CallQuarantine,
    must_publish: bool,
    read_version: u64,
    agent_version: u64,
    frozen_until: u64,
    cut_until: u64,
    disturbed_at: u64,
}

/// A call that an engine answers.
struct FleetCall {
    entry: usize,
    properties: Vec<CallProperty>,
    is_bad: bool,
    is_retry: bool,
    begins_at: u64,
    ends_at: u64,
}

/// A call at an undisturbed entry.
struct CountedCall {
    step: u64,
    is_bad: bool,
    is_refused: bool,
}

#[derive(Default)]
struct FleetEngine {
    boot: u64,
    down_until: u64,
    calls: Vec<FleetCall>,
}

fn time(step: u64) -> WallTime {
    WallTime::from_millis(1_700_000_000_000) + STEP * step as u32
}

/// Plays a fleet.
pub fn play(plan: FleetPlan, exchange: Exchange, seed: u64) -> FleetResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut agent_rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(plan);
    let disturbance = (DISTURBANCE * plan.entries as f64).min(1.0);
    for step in 0..STEPS {
        if plan.faults && rng.random_bool(disturbance) {
            fleet.disturb(step, &mut rng);
        }
        fleet.send_calls(step, &mut rng);
        fleet.run_engines(step, &mut rng);
        if exchange != Exchange::None {
            fleet.exchange(step);
        }
        if exchange == Exchange::StoreAndAgent {
            if agent_rng.random_bool(AGENT_RESTART) {
                fleet.agent.clear();
            }
            fleet.exchange_with_agent(step);
        }
    }
    fleet.count()
}

struct Fleet {
    bad: BadCalls,
    entries: Vec<FleetEntry>,
    engines: Vec<FleetEngine>,
    store: BTreeMap<usize, (u64, EntryFindings)>,
    /// The newest findings of each entry at the agent.
    agent: BTreeMap<usize, (u64, EntryFindings)>,
    version: u64,
    crashes: Vec<u64>,
    calls: Vec<CountedCall>,
}

impl Fleet {
    fn new(plan: FleetPlan) -> Self {
        let entries = (0..plan.entries).map(|entry| {
            let cut_until = if entry < plan.cut_off { STEPS } else { 0 };
            FleetEntry {
                quarantine: CallQuarantine::default(),
                must_publish: false,
                read_version: 0,
                agent_version: 0,
                frozen_until: 0,
                cut_until,
                disturbed_at: cut_until,
            }
        });
        Self {
            bad: plan.bad,
            entries: entries.collect(),
            engines: (0..plan.engines).map(|_| FleetEngine::default()).collect(),
            store: BTreeMap::new(),
            agent: BTreeMap::new(),
            version: 0,
            crashes: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Freezes, cuts off or restarts a random entry.
    fn disturb(&mut self, step: u64, rng: &mut SmallRng) {
        let index = rng.random_range(0..self.entries.len());
        let until = step + rng.random_range(5..60);
        let entry = &mut self.entries[index];
        match rng.random_range(0..3) {
            0 => entry.frozen_until = until,
            1 => entry.cut_until = until.max(entry.cut_until),
            _ => {
                entry.quarantine = CallQuarantine::default();
                entry.must_publish = false;
                entry.read_version = 0;
                entry.agent_version = 0;
                entry.frozen_until = step + 5;
                if let Some((_, findings)) = self.store.get(&index) {
                    entry.quarantine.adopt(time(step), findings.clone());
                }
            }
        }
        let disturbed_until = entry.frozen_until.max(entry.cut_until).max(step);
        entry.disturbed_at = entry.disturbed_at.max(disturbed_until);
    }

    fn is_undisturbed(&self, entry: usize, step: u64) -> bool {
        let disturbed_at = self.entries[entry].disturbed_at;
        disturbed_at == 0 || disturbed_at + BOUND_STEPS <= step
    }

    /// Sends calls of the step: sound ones whose parts are shared, and some with the bad part.
    fn send_calls(&mut self, step: u64, rng: &mut SmallRng) {
        let sound = 2 + self.entries.len() / 10;
        let bad = u64::from(step >= FIRST_BAD_STEP && rng.random_bool(0.4));
        for number in 0..sound as u64 + bad {
            let is_bad = number >= sound as u64;
            let entry = rng.random_range(0..self.entries.len());
            if self.entries[entry].frozen_until > step {
                continue;
            }
            let first = part(rng.random_range(0xf0..0xf3));
            let second = part(rng.random_range(0x100..0x140));
            let properties = match (self.bad, is_bad) {
                (BadCalls::Part, true) => vec![first, BAD, second],
                (BadCalls::Part, false) => vec![first, second],
                (BadCalls::Request, true) => vec![BAD_REQUEST],
                (BadCalls::Request, false) => vec![request(step << 8 | number)],
            };
            self.send(
                step,
                FleetCall {
                    entry,
                    properties,
                    is_bad,
                    is_retry: false,
                    begins_at: 0,
                    ends_at: 0,
                },
                rng,
            );
        }
    }

    /// Sends a call to an engine that is up, unless its entry refuses it.
    fn send(&mut self, step: u64, call: FleetCall, rng: &mut SmallRng) {
        let entry = &self.entries[call.entry];
        let properties = call.properties.iter().copied();
        let is_refused = entry.quarantine.time_left(time(step), properties).is_some();
        if self.is_undisturbed(call.entry, step) {
            self.calls.push(CountedCall {
                step,
                is_bad: call.is_bad,
                is_refused,
            });
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].down_until <= step)
            .collect();
        if is_refused || up.is_empty() {
            return;
        }
        let engine = up[rng.random_range(0..up.len())];
        let begins_at = step + rng.random_range(1..5);
        self.engines[engine].calls.push(FleetCall {
            begins_at,
            ends_at: begins_at + rng.random_range(2..30),
            ..call
        });
    }

    fn count(&self) -> FleetResult {
        let mut result = FleetResult {
            crashes: self.crashes.len() as u64,
            ..FleetResult::default()
        };
        let bound_crash = self.crashes.get(self.bad.bound_crash());
        let Some(reference) = bound_crash.or(self.crashes.last()) else {
            return result;
        };
        for call in &self.calls {
            let since = call.step.saturating_sub(*reference);
            if call.is_bad {
                let is_late = bound_crash.is_some() && since > BOUND_STEPS;
                result.late_sends += u64::from(is_late && !call.is_refused);
            } else if since > 2 * BOUND_STEPS {
                result.sound_calls += 1;
                result.sound_refused += u64::from(call.is_refused);
            }
        }
        result
    }

    /// Ends calls whose answers are complete, and crashes engines that begin to answer a bad one.
    fn run_engines(&mut self, step: u64, rng: &mut SmallRng) {
        let bad = self.bad.property();
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            let crashes = engine
                .calls
                .iter()
                .any(|call| call.begins_at <= step && call.properties.contains(&bad));
            let calls = std::mem::take(&mut engine.calls);
            if crashes {
                engine.boot += 1;
                engine.down_until = step + DOWN_STEPS;
                let name = format!("e{index}-{}", engine.boot);
                self.crash(&name, step, &calls);
                self.retry(step, calls, rng);
                continue;
            }
            for call in calls {
                let entry = &mut self.entries[call.entry];
                let has_survived = call.ends_at == step || call.begins_at + SURVIVAL_STEPS == step;
                if has_survived && entry.frozen_until <= step {
                    let properties = call.properties.iter().copied();
                    let change = entry.quarantine.record_survival(time(step), properties);
                    entry.must_publish |= change.must_publish;
                }
                if call.ends_at > step {
                    self.engines[index].calls.push(call);
                }
            }
        }
    }

    /// Reports the crash of an engine by each entry that had a call there which had not survived.
    fn crash(&mut self, name: &str, step: u64, calls: &[FleetCall]) {
        self.crashes.push(step);
        let mut suspects: BTreeMap<usize, BTreeSet<CallProperty>> = BTreeMap::new();
        for call in calls {
            if call.begins_at + SURVIVAL_STEPS > step {
                let suspects = suspects.entry(call.entry).or_default();
                suspects.extend(call.properties.iter().copied());
            }
        }
        for (index, suspects) in suspects {
            let entry = &mut self.entries[index];
            if entry.frozen_until > step {
                continue;
            }
            let crash = CrashReport {
                engine: name.parse().expect("the name is valid"),
                started_ms: None,
                seen_at: time(step),
                suspects,
            };
            let change = entry.quarantine.record_crash(time(step), crash);
            entry.must_publish |= change.must_publish;
        }
    }

    /// Sends calls that a crash broke off once more, where whole requests are repeated.
    fn retry(&mut self, step: u64, calls: Vec<FleetCall>, rng: &mut SmallRng) {
        if self.bad == BadCalls::Part {
            return;
        }
        for call in calls {
            if call.is_retry || self.entries[call.entry].frozen_until > step {
                continue;
            }
            let call = FleetCall {
                is_retry: true,
                ..call
            };
            self.send(step, call, rng);
        }
    }

    /// Sends the findings of all entries to the agent and reads those of the others. The agent has what
    /// entries sent in earlier steps.
    fn exchange_with_agent(&mut self, step: u64) {
        let version = self.version;
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if entry.frozen_until > step {
                continue;
            }
            let read_version = std::mem::replace(&mut entry.agent_version, version);
            let news = self.agent.iter();
            let news = news.filter(|(_, (sent_at, _))| (read_version..version).contains(sent_at));
            let (own, others): (Vec<_>, Vec<_>) = news.partition(|(peer, _)| **peer == index);
            if read_version == 0
                && let Some((_, (_, own))) = own.first()
            {
                entry.quarantine.adopt(time(step), own.clone());
            }
            if !others.is_empty() {
                let others = others
                    .into_iter()
                    .map(|(peer, (_, findings))| (format!("entry-{peer}"), findings.clone()));
                let change = entry.quarantine.apply(time(step), others);
                entry.must_publish |= change.must_publish;
            }
            let findings = entry.quarantine.findings();
            let is_known = match self.agent.get(&index) {
                Some((_, known)) => known == findings,
                None => *findings == EntryFindings::default(),
            };
            if !is_known {
                self.agent.insert(index, (version, findings.clone()));
            }
        }
        self.version += 1;
    }

    /// Publishes and reads findings at the entries that reach the store.
    fn exchange(&mut self, step: u64) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            if entry.frozen_until > step || entry.cut_until > step {
                continue;
            }
            if std::mem::take(&mut entry.must_publish) {
                self.version += 1;
                let findings = entry.quarantine.findings().clone();
                self.store.insert(index, (self.version, findings));
            }
            if !(step + index as u64).is_multiple_of(READ_STEPS) {
                continue;
            }
            let read_version = std::mem::replace(&mut entry.read_version, self.version);
            let news = self
                .store
                .iter()
                .filter(|(peer, (version, _))| *version > read_version && **peer != index);
            let news =
                news.map(|(peer, (_, findings))| (format!("entry-{peer}"), findings.clone()));
            let change = entry.quarantine.apply(time(step), news);
            entry.must_publish |= change.must_publish;
        }
    }
}
