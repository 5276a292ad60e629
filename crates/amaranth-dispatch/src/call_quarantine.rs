//! The quarantine of calls that crash endpoints.
//!
//! A call may crash each endpoint that begins to answer it, for a property that it shares with other
//! calls: a part of its prompt, or the whole request, which its caller repeats. No single entry sees
//! enough of the crashes, so entries exchange their findings: for each crash, the properties of the
//! calls whose answers had not survived, and the properties of calls whose answers did. Every entry
//! assesses the findings of all entries by itself. A property is quarantined while it explains several
//! crashes, at different moments, that no other property explains better, and no call with it
//! survived. Where several parts explain the same crashes, only prompts with all of them are
//! quarantined, and where a request does so too, only that request. Requests that explain the same
//! crashes are not quarantined before one crash more.
//!
//! Findings are state, not messages: each entry publishes its findings as a whole, and those of one
//! entry replace its earlier ones. Lost, repeated and reordered updates do no harm, and the
//! quarantine is a function of the findings.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::WallTime;
use serde::{Deserialize, Serialize};

use crate::call::CallProperty;

/// Number of crashes that a property must explain before it is quarantined.
const MIN_CRASHES: usize = 3;

/// Number of moments at which these crashes must have happened. Engines that fail together do so at
/// one moment.
const MIN_MOMENTS: usize = 3;

/// Number of moments at which the crashes under a request must have happened. Its caller repeats it
/// when it is answered, so that endpoints which fail together rarely share it.
const MIN_REQUEST_MOMENTS: usize = 2;

/// Smallest difference of the times of two changes, also after the wall clock was set back.
const MIN_CHANGE_GAP: Duration = Duration::from_millis(1);

/// Time between two moments.
const MOMENT_GAP: Duration = Duration::from_millis(200);

/// Time for which a crash counts.
const CRASH_TIME: Duration = Duration::from_secs(3_600);

/// Time after a call survived for which its properties are not suspects.
const SURVIVAL_TIME: Duration = Duration::from_secs(30);

/// Limit on the crashes that one entry reports, on the suspects of each kind, and on the survivals.
const MAX_REPORTS: usize = 64;

/// Limit on the survivals that an entry remembers, of its own and of those reported.
const MAX_SURVIVALS: usize = 8_192;

/// The crash of one incarnation of an endpoint, as one entry saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The engine.
    pub engine: EndpointId,
    /// The start time of the engine, in milliseconds of its own wall clock, if it states one.
    pub started_ms: Option<u64>,
    /// The time of the crash.
    pub seen_at: WallTime,
    /// The properties of the entry's calls at the endpoint whose answers had not survived.
    pub suspects: BTreeSet<CallProperty>,
}

/// A property of a call whose answer survived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivalReport {
    /// The property of the call, under the name that earlier releases publish.
    #[serde(rename = "part")]
    pub property: CallProperty,
    /// The time until which the answer had survived.
    pub seen_at: WallTime,
}

/// What one entry found, as it publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EntryFindings {
    /// The time of the last change, later than that of all earlier ones. Findings may arrive by several
    /// ways, and older ones do not replace newer ones.
    #[serde(default)]
    pub as_of: WallTime,
    /// Crashes of engines.
    pub crashes: Vec<CrashReport>,
    /// Survivals of properties that some entry suspects.
    pub survivals: Vec<SurvivalReport>,
}

/// The properties whose combination is quarantined: one property, or several of which no evidence
/// tells yet which one crashes endpoints.
pub type QuarantinedProperties = BTreeSet<CallProperty>;

/// The changes of an assessment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QuarantineChange {
    /// The combinations that were quarantined, with the number of crashes that each explains.
    pub begun: Vec<(QuarantinedProperties, usize)>,
    /// The combinations that are no longer quarantined.
    pub ended: Vec<QuarantinedProperties>,
    /// Whether this entry's findings changed and have to be published.
    pub must_publish: bool,
}

/// The crashes that a quarantined combination explains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Verdict {
    crashes: usize,
    until: WallTime,
}

/// The times of crashes, by the incarnation of the engine.
type CrashTimes = BTreeMap<(EndpointId, Option<u64>), WallTime>;

/// The suspects and the first sighting of one crash, from the reports of all entries.
#[derive(Debug)]
struct CrashEvidence {
    seen_at: WallTime,
    suspects: BTreeSet<CallProperty>,
}

/// The quarantined properties, and the findings of all entries on which they rest.
#[derive(Debug, Clone, Default)]
pub struct CallQuarantine {
    own: EntryFindings,
    peers: BTreeMap<String, EntryFindings>,
    /// The newest survivals that this entry saw.
    survived: HashMap<CallProperty, WallTime>,
    /// The newest survivals that any entry reported.
    reported: HashMap<CallProperty, WallTime>,
    /// The crashes of which some entry suspects a property.
    suspected: HashMap<CallProperty, CrashTimes>,
    active: BTreeMap<QuarantinedProperties, Verdict>,
}

impl CallQuarantine {
    /// Returns the findings of this entry.
    pub const fn findings(&self) -> &EntryFindings {
        &self.own
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns the remaining time of the quarantine of a call with these properties, if it is
    /// quarantined.
    pub fn time_left(
        &self,
        now: WallTime,
        properties: impl IntoIterator<Item = CallProperty>,
    ) -> Option<Duration> {
        if self.active.is_empty() {
            return None;
        }
        let properties: BTreeSet<CallProperty> = properties.into_iter().collect();
        let matching = self
            .active
            .iter()
            .filter(|(quarantined, _)| quarantined.is_subset(&properties));
        let left = matching.map(|(_, verdict)| verdict.until.since(now));
        left.filter(|left| !left.is_zero()).max()
    }

    /// Records the crash of an engine. Reports of the same crash are merged.
    pub fn record_crash(&mut self, now: WallTime, crash: CrashReport) -> QuarantineChange {
        if !self.add_crash(crash) {
            return QuarantineChange::default();
        }
        let mut change = self.assess(now);
        self.mark_changed(now, &mut change);
        change
    }

    /// Records that the answer to a call with these properties survived.
    pub fn record_survival(
        &mut self,
        now: WallTime,
        properties: impl IntoIterator<Item = CallProperty>,
    ) -> QuarantineChange {
        let mut is_news = false;
        for property in properties {
            self.survived.insert(property, now);
            is_news |= self.publish_survival(property);
        }
        forget_older_half(&mut self.survived);
        if !is_news {
            return QuarantineChange::default();
        }
        let mut change = self.assess(now);
        self.mark_changed(now, &mut change);
        change
    }

    /// Replaces the findings of other entries, unless newer ones of theirs are known.
    pub fn apply(
        &mut self,
        now: WallTime,
        findings: impl IntoIterator<Item = (String, EntryFindings)>,
    ) -> QuarantineChange {
        let mut suspects = BTreeSet::new();
        for (entry, findings) in findings {
            for crash in &findings.crashes {
                record_suspects(&mut self.suspected, crash);
                suspects.extend(&crash.suspects);
            }
            for report in &findings.survivals {
                record_newest(&mut self.reported, *report);
            }
            let known = self.peers.entry(entry).or_default();
            if known.as_of <= findings.as_of {
                *known = findings;
            }
        }
        forget_older_half(&mut self.reported);
        let mut is_news = false;
        for property in suspects {
            is_news |= self.publish_survival(property);
        }
        let mut change = self.assess(now);
        if is_news {
            self.mark_changed(now, &mut change);
        }
        change
    }

    /// Adopts what an earlier process of this entry published, and determines whether the findings
    /// have to be published again because the published ones lack some.
    pub fn adopt(&mut self, now: WallTime, published: EntryFindings) -> QuarantineChange {
        for crash in &published.crashes {
            self.add_crash(crash.clone());
        }
        for report in &published.survivals {
            let known = self.own.survivals.iter();
            if known.clone().all(|known| known.property != report.property) {
                self.own.survivals.push(*report);
            }
            record_newest(&mut self.reported, *report);
        }
        truncate_oldest(&mut self.own.survivals);
        let mut change = self.assess(now);
        self.own.as_of = self.own.as_of.max(published.as_of);
        if self.own.crashes != published.crashes || self.own.survivals != published.survivals {
            self.mark_changed(now, &mut change);
        }
        change
    }

    /// Records that the findings of this entry changed at `now` and have to be published.
    fn mark_changed(&mut self, now: WallTime, change: &mut QuarantineChange) {
        let next = self.own.as_of + MIN_CHANGE_GAP;
        self.own.as_of = now.max(next);
        change.must_publish = true;
    }

    /// Ends quarantines whose evidence is too old.
    pub fn expire(&mut self, now: WallTime) -> QuarantineChange {
        self.own
            .crashes
            .retain(|crash| now.since(crash.seen_at) < CRASH_TIME);
        self.suspected.clear();
        let findings = std::iter::once(&self.own).chain(self.peers.values());
        let crashes = findings.flat_map(|findings| &findings.crashes);
        for crash in crashes.filter(|crash| now.since(crash.seen_at) < CRASH_TIME) {
            record_suspects(&mut self.suspected, crash);
        }
        if self.active.is_empty() {
            return QuarantineChange::default();
        }
        self.assess(now)
    }

    /// Adds a crash to the findings of this entry. Returns whether they changed.
    fn add_crash(&mut self, mut crash: CrashReport) -> bool {
        let seen_at = crash.seen_at;
        crash
            .suspects
            .retain(|property| !self.is_exonerated(*property, seen_at));
        crash.suspects = self.limit_suspects(crash.suspects);
        if crash.suspects.is_empty() {
            return false;
        }
        record_suspects(&mut self.suspected, &crash);
        let same = |known: &&mut CrashReport| {
            (&known.engine, known.started_ms) == (&crash.engine, crash.started_ms)
        };
        if let Some(known) = self.own.crashes.iter_mut().find(same) {
            let before = known.suspects.len();
            known.suspects.extend(crash.suspects);
            return known.suspects.len() > before;
        }
        self.own.crashes.push(crash);
        truncate_oldest(&mut self.own.crashes);
        true
    }

    /// Adds this entry's newest survival of a property to its findings, if the property is about to be
    /// quarantined or is so, and no reported survival exonerates it. Returns whether the findings
    /// changed.
    fn publish_survival(&mut self, property: CallProperty) -> bool {
        let Some(seen_at) = self.survived.get(&property).copied() else {
            return false;
        };
        let Some(crashes) = self.suspected.get(&property) else {
            return false;
        };
        let reported = self.reported.get(&property).copied().unwrap_or_default();
        let counted = crashes.values();
        let counted = counted.filter(|crashed_at| reported + SURVIVAL_TIME <= **crashed_at);
        let is_near = counted.clone().count() + 1 >= MIN_CRASHES;
        let exonerates = |crashed_at: &WallTime| seen_at + SURVIVAL_TIME > *crashed_at;
        if !is_near || !counted.clone().any(exonerates) {
            return false;
        }
        let report = SurvivalReport { property, seen_at };
        record_newest(&mut self.reported, report);
        self.own
            .survivals
            .retain(|report| report.property != property);
        self.own.survivals.push(report);
        truncate_oldest(&mut self.own.survivals);
        true
    }

    /// Returns the suspects within the limit for each kind, first those of earlier crashes.
    fn limit_suspects(&self, suspects: BTreeSet<CallProperty>) -> BTreeSet<CallProperty> {
        let (requests, parts): (Vec<_>, Vec<_>) =
            suspects.into_iter().partition(CallProperty::is_request);
        let limited = [requests, parts].into_iter().flat_map(|mut kind| {
            kind.sort_by_key(|property| !self.suspected.contains_key(property));
            kind.truncate(MAX_REPORTS);
            kind
        });
        limited.collect()
    }

    fn all_findings(&self) -> impl Iterator<Item = &EntryFindings> {
        std::iter::once(&self.own).chain(self.peers.values())
    }

    /// Returns whether a survival of a property shows that it did not cause a crash at `crashed_at`.
    fn is_exonerated(&self, property: CallProperty, crashed_at: WallTime) -> bool {
        let newest = self
            .survived
            .get(&property)
            .max(self.reported.get(&property));
        newest.is_some_and(|survived_at| *survived_at + SURVIVAL_TIME > crashed_at)
    }

    /// Determines the quarantine anew from the findings of all entries.
    fn assess(&mut self, now: WallTime) -> QuarantineChange {
        if self.active.is_empty() && self.suspected.is_empty() {
            return QuarantineChange::default();
        }
        let mut evidence = self.evidence(now);
        let mut active = BTreeMap::new();
        while let Some((culprits, verdict)) = find_culprits(&evidence) {
            for properties in culprits {
                evidence.retain(|crash| !properties.is_subset(&crash.suspects));
                active.insert(properties, verdict);
            }
        }
        let before = std::mem::replace(&mut self.active, active);
        let begun = self.active.iter();
        let begun = begun.filter(|(properties, _)| !before.contains_key(*properties));
        let ended = before.keys();
        let ended = ended.filter(|properties| !self.active.contains_key(*properties));
        QuarantineChange {
            begun: begun
                .map(|(properties, verdict)| (properties.clone(), verdict.crashes))
                .collect(),
            ended: ended.cloned().collect(),
            must_publish: false,
        }
    }

    /// Returns the crashes of the last time, each with the suspects that no survival exonerates.
    fn evidence(&self, now: WallTime) -> Vec<CrashEvidence> {
        let mut crashes: BTreeMap<(&EndpointId, Option<u64>), CrashEvidence> = BTreeMap::new();
        for crash in self.all_findings().flat_map(|findings| &findings.crashes) {
            if now.since(crash.seen_at) >= CRASH_TIME {
                continue;
            }
            let key = (&crash.engine, crash.started_ms);
            let evidence = crashes.entry(key).or_insert_with(|| CrashEvidence {
                seen_at: crash.seen_at,
                suspects: BTreeSet::new(),
            });
            evidence.seen_at = evidence.seen_at.min(crash.seen_at);
            evidence.suspects.extend(&crash.suspects);
        }
        let mut crashes: Vec<CrashEvidence> = crashes.into_values().collect();
        for crash in &mut crashes {
            let seen_at = crash.seen_at;
            crash
                .suspects
                .retain(|property| !self.is_exonerated(*property, seen_at));
        }
        crashes
    }
}

/// Forgets the older half of survivals if there are too many.
fn forget_older_half(survivals: &mut HashMap<CallProperty, WallTime>) {
    if survivals.len() <= MAX_SURVIVALS {
        return;
    }
    let mut times: Vec<WallTime> = survivals.values().copied().collect();
    times.sort_unstable();
    let median = times[times.len() / 2];
    survivals.retain(|_, seen_at| *seen_at > median);
}

fn record_suspects(suspected: &mut HashMap<CallProperty, CrashTimes>, crash: &CrashReport) {
    for property in &crash.suspects {
        let key = (crash.engine.clone(), crash.started_ms);
        let crashes = suspected.entry(*property).or_default();
        crashes.entry(key).or_insert(crash.seen_at);
    }
}

fn record_newest(survivals: &mut HashMap<CallProperty, WallTime>, report: SurvivalReport) {
    let newest = survivals.entry(report.property).or_default();
    *newest = report.seen_at.max(*newest);
}

/// The crashes that some properties explain, as indices of the evidence in order.
type ExplainedCrashes = Vec<usize>;

/// Returns the combinations of properties that explain the most crashes, if they explain enough of
/// them: the parts that explain the same crashes as one combination, or each request that does.
fn find_culprits(evidence: &[CrashEvidence]) -> Option<(Vec<QuarantinedProperties>, Verdict)> {
    let mut explained: BTreeMap<CallProperty, ExplainedCrashes> = BTreeMap::new();
    for (index, crash) in evidence.iter().enumerate() {
        for property in &crash.suspects {
            explained.entry(*property).or_default().push(index);
        }
    }
    let mut groups: BTreeMap<ExplainedCrashes, Vec<CallProperty>> = BTreeMap::new();
    for (property, crashes) in explained {
        if crashes.len() >= MIN_CRASHES {
            groups.entry(crashes).or_default().push(property);
        }
    }
    let times = |crashes: &[usize]| {
        let times = crashes.iter().map(|index| evidence[*index].seen_at);
        let mut times: Vec<WallTime> = times.collect();
        times.sort_unstable();
        times
    };
    let is_enough = |(crashes, properties): &(&ExplainedCrashes, &Vec<CallProperty>)| {
        let moments = moments(&times(crashes));
        if properties.iter().any(CallProperty::is_request) {
            moments >= MIN_REQUEST_MOMENTS
                && (crashes.len() > MIN_CRASHES || !is_contested(&groups, crashes))
        } else {
            moments >= MIN_MOMENTS
        }
    };
    let most = groups.iter().filter(is_enough);
    let (crashes, properties) = most.max_by_key(|(crashes, _)| crashes.len())?;
    let requests = properties.iter().filter(|property| property.is_request());
    let mut culprits: Vec<QuarantinedProperties> =
        requests.map(|request| [*request].into()).collect();
    if culprits.is_empty() {
        culprits.push(properties.iter().copied().collect());
    }
    let verdict = Verdict {
        crashes: crashes.len(),
        until: times(crashes)[crashes.len() - MIN_CRASHES] + CRASH_TIME,
    };
    Some((culprits, verdict))
}

/// Returns whether several requests explain some of these crashes equally well. One of them may only
/// have been at the endpoints that the other one crashed.
fn is_contested(
    groups: &BTreeMap<ExplainedCrashes, Vec<CallProperty>>,
    crashes: &ExplainedCrashes,
) -> bool {
    let requests = |properties: &[CallProperty]| {
        let requests = properties.iter().filter(|property| property.is_request());
        requests.count()
    };
    let equal = groups
        .iter()
        .filter(|(others, _)| others.len() == crashes.len());
    let overlapping =
        equal.filter(|(others, _)| others.iter().any(|index| crashes.contains(index)));
    let contenders: usize = overlapping
        .map(|(_, properties)| requests(properties))
        .sum();
    contenders > 1
}

/// Returns the number of moments at which events happened, whose times are in order.
fn moments(times: &[WallTime]) -> usize {
    let mut count = 0;
    let mut last: Option<WallTime> = None;
    for time in times {
        if last.is_none_or(|last| time.since(last) >= MOMENT_GAP) {
            count += 1;
            last = Some(*time);
        }
    }
    count
}

/// Removes the oldest reports beyond the limit.
fn truncate_oldest<Report>(reports: &mut Vec<Report>) {
    let excess = reports.len().saturating_sub(MAX_REPORTS);
    reports.drain(..excess);
}
