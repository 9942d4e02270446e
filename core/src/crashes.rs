//! History of requests that crash the targets which run them, recognized by fingerprint when they
//! are sent again under other identifiers.
//!
//! Each run that was in flight when its target ended is a *mark* against its request, and a success
//! removes all marks of runs that began before it. Only marks of consecutive runs count: runs that
//! overlapped in time may have ended from one cause, such as the loss of a rack. From the second
//! counted mark on, a request runs isolated: as the only one under suspicion at its target. From
//! the third on it is refused for increasing times, unless it succeeded recently. Marks and
//! successes are sets whose merge doesn't depend on the order, so all nodes agree on the count
//! without coordination. See [crashing requests](../../docs/design/crashing-requests.md).

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;
use crate::relayed_reports::{RelayedReport, RelayedReports};
use crate::suspects::Fingerprint;
use crate::time::Moment;

/// Number of counted marks from which a request runs isolated; every bystander of a crash has one.
const ISOLATION_MARKS: usize = 2;
/// Number of counted marks from which a request is refused; operators accept three crashed targets
/// per request.
const REFUSAL_MARKS: usize = 3;
/// Time after the last crash for which a request is refused, by the number of counted marks beyond
/// [`REFUSAL_MARKS`]; the last one applies to all higher numbers. Each run after a refusal may
/// crash another target, and operators accept three such crashes in all.
const REFUSAL_TIMES: [Duration; 3] =
    [Duration::from_secs(10), Duration::from_secs(600), Duration::from_secs(3_600)];
/// Time after the last crash for which marks are kept while they are too few to refuse the request.
const MARK_RETENTION: Duration = Duration::from_secs(600);
/// Time after the last crash for which marks are kept that cause the request to be refused.
const REFUSED_RETENTION: Duration = Duration::from_secs(86_400);
/// Time for which a success is kept, so that marks of earlier runs that arrive late don't count.
const SUCCESS_RETENTION: Duration = Duration::from_secs(60);
/// Time after a crash for which a new peer is informed of it even if the request has only one mark.
/// Subscriptions are renewed within this time after a start or a lost connection.
const RECENT_CRASH_TIME: Duration = Duration::from_secs(10);
/// Number of reports that a node passes on within the time for which it remembers them, per request
/// that its history holds: a request has a few marks and successes in that time.
const RELAYED_PER_REQUEST: usize = 4;
/// Maximum number of marks per request; more would not change any decision.
const MAX_MARKS: usize = 8;
/// Time by which two nodes may differ about the order of two events, due to message delays.
const ORDER_SLACK: Duration = Duration::from_millis(20);
/// Time by which a reported moment must differ from the known one to count as another event. A
/// smaller difference is taken for the same event, reported over a slower path.
const SAME_EVENT_TOLERANCE: Duration = Duration::from_secs(1);

/// Maximum age of received marks and successes; higher ones are reduced to it, so that times derived
/// from them do not overflow. No mark is kept for longer.
const AGE_MAX: Duration = Duration::from_secs(24 * 3_600);

/// Identifier of one lifetime of a target, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetLifetime(u64);

impl TargetLifetime {
    /// Lifetime of `instance` that began at `born`, in milliseconds of Unix time on the clock of
    /// the instance.
    pub fn of(instance: &InstanceId, born: u64) -> Self {
        Self(xxh3_64_with_seed(instance.0.as_str().as_bytes(), born))
    }
}

/// Run that was in flight when its target ended, as nodes send it to each other.
///
/// Times are relative to the moment of sending, so that nodes need no synchronized clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Lifetime of the target that ended.
    pub life: TargetLifetime,
    /// Time since the run began.
    pub began: Duration,
    /// Time since the target ended, as far as is known.
    pub ended: Duration,
}

/// Success of a request that had marks, as nodes send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccessReport {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Time since the success.
    pub age: Duration,
}

/// Crashes and successes that one node reports to others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Runs that were in flight when their targets ended.
    pub marks: Vec<CrashMark>,
    /// Successes of requests that had marks.
    #[serde(rename = "pardons")]
    pub successes: Vec<SuccessReport>,
}

impl CrashNews {
    /// Whether there are neither marks nor successes.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.successes.is_empty()
    }

    /// Appends the marks and successes of `other`.
    pub fn extend(&mut self, other: Self) {
        self.marks.extend(other.marks);
        self.successes.extend(other.successes);
    }

    /// Adds `elapsed` to all times, for news that was stored or delayed for that long.
    pub fn aged(mut self, elapsed: Duration) -> Self {
        for mark in &mut self.marks {
            mark.began = mark.began.saturating_add(elapsed);
            mark.ended = mark.ended.saturating_add(elapsed);
        }
        for success in &mut self.successes {
            success.age = success.age.saturating_add(elapsed);
        }
        self
    }
}

/// Whether and how a request may run, given its crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashAdmission {
    /// The request runs like any other.
    Unrestricted,
    /// The request runs as the only one under suspicion at its target.
    Isolated,
    /// The request is refused for this much longer.
    Refused(Duration),
}

/// Microseconds on the clock of this process; negative for events before the clock's origin.
type Micros = i64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Mark {
    life: TargetLifetime,
    began: Micros,
    ended: Micros,
}

#[derive(Debug, Default)]
struct Record {
    /// Marks sorted by the time at which their targets ended.
    marks: Vec<Mark>,
    /// Latest known success.
    success: Option<Micros>,
    /// Whether this node observed one of the crashes itself.
    seen_locally: bool,
}

/// Who observed what is merged into a [`CrashHistory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportSource {
    /// This node, which tells others of each crash.
    Own,
    /// Another node; what it reports is passed on once.
    Other,
}

/// Marks and successes of requests, as known to one node.
///
/// Holds at most `capacity` requests of up to about 300 bytes each; those with the fewest counted
/// marks are evicted first.
#[derive(Debug)]
pub struct CrashHistory {
    capacity: usize,
    records: HashMap<Fingerprint, Record>,
    recent: RecentSuccesses,
    relayed: RelayedReports,
}

impl CrashHistory {
    /// Creates an empty history.
    pub fn new(capacity: usize) -> Self {
        let relayed = RelayedReports::new(RELAYED_PER_REQUEST * capacity);
        Self { capacity, records: HashMap::new(), recent: RecentSuccesses::default(), relayed }
    }

    /// Whether and how a request may run at `now`.
    pub fn admission(&self, now: Moment, fingerprint: Fingerprint) -> CrashAdmission {
        let Some(record) = self.records.get(&fingerprint) else {
            return CrashAdmission::Unrestricted;
        };
        record.admission(micros(now))
    }

    /// Number of consecutive crashes of a request; see the module documentation.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, Record::count)
    }

    /// Whether no request has a mark.
    pub fn is_clear(&self) -> bool {
        self.records.values().all(|record| record.marks.is_empty())
    }

    /// Number of requests with marks or a success.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request has marks or a success.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that a run of the request succeeded at `now`; returns the news for other nodes,
    /// which is empty unless the request had marks.
    pub fn record_success(&mut self, now: Moment, fingerprint: Fingerprint) -> CrashNews {
        self.recent.record(micros(now), fingerprint);
        let marked = self.records.get(&fingerprint).is_some_and(|record| !record.marks.is_empty());
        if !marked {
            return CrashNews::default();
        }
        self.apply_success(micros(now), fingerprint);
        CrashNews {
            successes: vec![SuccessReport { print: fingerprint, age: Duration::ZERO }],
            ..Default::default()
        }
    }

    /// Merges marks and successes that this node received from another. Returns those that were new
    /// and have not been passed on before, and known successes that contradict the merged marks.
    pub fn merge(&mut self, now: Moment, received: &CrashNews) -> CrashNews {
        self.merge_from(now, received, ReportSource::Other)
    }

    fn merge_from(&mut self, now: Moment, received: &CrashNews, source: ReportSource) -> CrashNews {
        let at = |age: Duration| micros(now) - age.min(AGE_MAX).as_micros() as Micros;
        let mut news = CrashNews::default();
        for success in &received.successes {
            let time = at(success.age);
            let cleared = self.last_cleared(time, success.print);
            self.merge_success(now, time, *success, cleared, &mut news);
        }
        for reported in &received.marks {
            let mark =
                Mark { life: reported.life, began: at(reported.began), ended: at(reported.ended) };
            if let Some(success) =
                self.recent.last(reported.print).filter(|last| *last > mark.began)
            {
                let report = success_report(now, reported.print, success);
                self.merge_success(now, success, report, Some(reported.life), &mut news);
                continue;
            }
            if self.apply_mark(reported.print, mark) {
                let report = RelayedReport::Crash(reported.print, reported.life);
                let urgent = self.count(reported.print) >= ISOLATION_MARKS;
                let is_admitted = self.relayed.admit(now, report, urgent);
                if is_admitted || source == ReportSource::Own {
                    news.marks.push(*reported);
                }
            }
            // Other nodes must learn of a recent success even if crashes followed it.
            if let Some(success) = self.recent.last(reported.print) {
                let report = success_report(now, reported.print, success);
                self.merge_success(now, success, report, Some(reported.life), &mut news);
            }
        }
        self.evict();
        news
    }

    /// Lifetime of the target whose crash is the last one that a success at `time` clears.
    fn last_cleared(&self, time: Micros, print: Fingerprint) -> Option<TargetLifetime> {
        let record = self.records.get(&print)?;
        record.marks.iter().rfind(|mark| mark.began <= time).map(|mark| mark.life)
    }

    /// Applies a success at `time`, and adds `report` to `news` if it was new. Nodes that know of
    /// the crash in the lifetime `cleared` must learn of it.
    fn merge_success(
        &mut self,
        now: Moment,
        time: Micros,
        report: SuccessReport,
        cleared: Option<TargetLifetime>,
        news: &mut CrashNews,
    ) {
        let print = report.print;
        let urgent = self.count(print) >= ISOLATION_MARKS;
        if self.apply_success(time, print)
            && self.relayed.admit(now, RelayedReport::Success(print, cleared), urgent)
        {
            news.successes.push(report);
        }
    }

    /// Records a crash that this node observed; returns the news for other nodes.
    pub fn record_local(&mut self, now: Moment, mark: CrashMark) -> CrashNews {
        let observed = CrashNews { marks: vec![mark], ..CrashNews::default() };
        let news = self.merge_from(now, &observed, ReportSource::Own);
        if let Some(record) = self.records.get_mut(&mark.print) {
            record.seen_locally = true;
        }
        news
    }

    /// Whether `news` contains a mark of a request that is now refused and of whose crashes this
    /// node observed at least one, so that this node must store the marks where they outlive all
    /// processes. The marks may have arrived in any order, so any of the observing nodes may be the
    /// first to see the count reached.
    pub fn must_persist(&self, news: &CrashNews) -> bool {
        news.marks.iter().any(|mark| {
            let record = self.records.get(&mark.print);
            record.is_some_and(|record| record.seen_locally && record.count() >= REFUSAL_MARKS)
        })
    }

    /// Marks and success of one request, for other nodes.
    pub fn export_request(&self, now: Moment, fingerprint: Fingerprint) -> CrashNews {
        let mut news = CrashNews::default();
        if let Some(record) = self.records.get(&fingerprint) {
            record.export(micros(now), fingerprint, &mut news);
        }
        news
    }

    /// Marks and successes to send to a peer that has received none yet: those of requests that run
    /// isolated or are refused, and those of recent crashes, whose requests may be repeated soon.
    pub fn export_for_peer(&self, now: Moment) -> CrashNews {
        let recent = micros(now) - RECENT_CRASH_TIME.as_micros() as Micros;
        self.export_where(now, |record| {
            record.count() >= ISOLATION_MARKS || record.last_crash() > recent
        })
    }

    /// Marks and successes of the requests that are refused, to be stored for processes that start
    /// later.
    pub fn export_refused(&self, now: Moment) -> CrashNews {
        self.export_where(now, |record| record.count() >= REFUSAL_MARKS)
    }

    /// Removes requests whose marks and success are past their retention times.
    pub fn expire(&mut self, now: Moment) {
        let now = micros(now);
        self.records.retain(|_, record| record.expiry() > now);
    }

    /// Checks the capacity and the invariants of the marks. For tests.
    ///
    /// # Errors
    ///
    /// Describes the first violation.
    pub fn verify(&self) -> Result<(), String> {
        if self.records.len() > self.capacity {
            return Err(format!("{} requests exceed the capacity", self.records.len()));
        }
        for (fingerprint, record) in &self.records {
            let ordered = record.marks.is_sorted_by_key(|mark| mark.ended);
            if record.marks.len() > MAX_MARKS || !ordered {
                return Err(format!("{fingerprint:?}: unsorted or too many: {:?}", record.marks));
            }
            if record.success.is_some_and(|at| record.marks.iter().any(|mark| mark.began <= at)) {
                return Err(format!("{fingerprint:?} has marks from before its success"));
            }
        }
        Ok(())
    }

    fn export_where(&self, now: Moment, which: impl Fn(&Record) -> bool) -> CrashNews {
        let mut news = CrashNews::default();
        for (fingerprint, record) in self.records.iter().filter(|(_, record)| which(record)) {
            record.export(micros(now), *fingerprint, &mut news);
        }
        news
    }

    fn apply_success(&mut self, at: Micros, fingerprint: Fingerprint) -> bool {
        let record = self.records.entry(fingerprint).or_default();
        let known = record.success.replace(record.success.map_or(at, |known| known.max(at)));
        let marks = record.marks.len();
        record.marks.retain(|mark| mark.began > at);
        record.marks.len() < marks || known.is_none_or(|known| known + same_event() < at)
    }

    fn apply_mark(&mut self, fingerprint: Fingerprint, mark: Mark) -> bool {
        let record = self.records.entry(fingerprint).or_default();
        if record.success.is_some_and(|at| mark.began <= at) {
            return false;
        }
        // Of several runs in one lifetime of a target only the latest counts, because the others
        // began before it or ran beside it.
        if let Some(idx) = record.marks.iter().position(|known| known.life == mark.life) {
            if record.marks[idx].began + same_event() >= mark.began {
                return false;
            }
            record.marks.remove(idx);
        }
        if record.marks.len() >= MAX_MARKS {
            if record.marks[0].ended >= mark.ended {
                return false;
            }
            record.marks.remove(0);
        }
        let place = record.marks.partition_point(|known| known.ended <= mark.ended);
        record.marks.insert(place, mark);
        true
    }

    fn evict(&mut self) {
        if self.records.len() <= self.capacity {
            return;
        }
        let mut ranks: Vec<_> = self
            .records
            .iter()
            .map(|(fingerprint, record)| (record.count(), record.expiry(), *fingerprint))
            .collect();
        ranks.sort_unstable();
        // Evicts an eighth of the capacity at once, so that a flood of new requests doesn't cause a
        // sort for each of them.
        let surplus = self.records.len() - self.capacity + self.capacity / 8;
        for (_, _, fingerprint) in ranks.into_iter().take(surplus) {
            self.records.remove(&fingerprint);
        }
    }
}

impl Record {
    /// Number of consecutive crashes: the length of the longest sequence of marks in which each run
    /// began after the previous target had ended, within a tolerance of [`ORDER_SLACK`].
    fn count(&self) -> usize {
        let mut last = None;
        let follows = |mark: &&Mark| {
            let follows = last.is_none_or(|ended| mark.began + slack() >= ended);
            if follows {
                last = Some(mark.ended);
            }
            follows
        };
        self.marks.iter().filter(follows).count()
    }

    fn admission(&self, now: Micros) -> CrashAdmission {
        let count = self.count();
        if count < ISOLATION_MARKS || self.expiry() <= now {
            return CrashAdmission::Unrestricted;
        }
        let Some(beyond) = count.checked_sub(REFUSAL_MARKS) else {
            return CrashAdmission::Isolated;
        };
        // A request that succeeded recently was probably in flight at crashes that others caused.
        // If all nodes refused it, it could not succeed again and be cleared.
        if self.success.is_some_and(|at| at + SUCCESS_RETENTION.as_micros() as Micros > now) {
            return CrashAdmission::Isolated;
        }
        let pause = REFUSAL_TIMES[beyond.min(REFUSAL_TIMES.len() - 1)].as_micros() as Micros;
        let left = self.last_crash() + pause - now;
        match u64::try_from(left) {
            Ok(left) if left > 0 => CrashAdmission::Refused(Duration::from_micros(left)),
            _ => CrashAdmission::Isolated,
        }
    }

    fn last_crash(&self) -> Micros {
        self.marks.last().map_or(Micros::MIN / 2, |mark| mark.ended)
    }

    fn expiry(&self) -> Micros {
        let retention =
            if self.count() >= REFUSAL_MARKS { REFUSED_RETENTION } else { MARK_RETENTION };
        let marks = self.last_crash() + retention.as_micros() as Micros;
        let success = self.success.map(|at| at + SUCCESS_RETENTION.as_micros() as Micros);
        success.map_or(marks, |success| marks.max(success))
    }

    fn export(&self, now: Micros, fingerprint: Fingerprint, news: &mut CrashNews) {
        let age = |at: Micros| Duration::from_micros(now.saturating_sub(at).max(0) as u64);
        news.marks.extend(self.marks.iter().map(|mark| {
            let (began, ended) = (age(mark.began), age(mark.ended));
            CrashMark { print: fingerprint, life: mark.life, began, ended }
        }));
        news.successes
            .extend(self.success.map(|at| SuccessReport { print: fingerprint, age: age(at) }));
    }
}

/// Requests that succeeded recently, whether or not they have marks, so that marks of a popular
/// request that was in flight at crashes of others can be rejected as soon as they arrive.
///
/// Holds two generations. When the current one is full or too old, it replaces the previous one.
#[derive(Debug, Default)]
struct RecentSuccesses {
    rotated_at: Micros,
    current: HashMap<Fingerprint, Micros>,
    previous: HashMap<Fingerprint, Micros>,
}

impl RecentSuccesses {
    /// Minimum time for which a success is remembered, unless too many follow it. It is longer than
    /// a target takes to restart, because the end of a target that became unresponsive is known
    /// only once it has restarted.
    const RETENTION: Duration = Duration::from_secs(15);
    /// Maximum number of successes in a generation, of 16 bytes each.
    const MAX_PER_GENERATION: usize = 2_048;

    fn record(&mut self, now: Micros, fingerprint: Fingerprint) {
        let full = self.current.len() >= Self::MAX_PER_GENERATION
            && !self.current.contains_key(&fingerprint);
        if full || now - self.rotated_at > Self::RETENTION.as_micros() as Micros {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
        self.current.insert(fingerprint, now);
    }

    fn last(&self, fingerprint: Fingerprint) -> Option<Micros> {
        self.current.get(&fingerprint).or_else(|| self.previous.get(&fingerprint)).copied()
    }
}

fn success_report(now: Moment, fingerprint: Fingerprint, success: Micros) -> SuccessReport {
    let age = Duration::from_micros(micros(now).saturating_sub(success).max(0) as u64);
    SuccessReport { print: fingerprint, age }
}

fn micros(now: Moment) -> Micros {
    now.as_micros() as Micros
}

fn same_event() -> Micros {
    SAME_EVENT_TOLERANCE.as_micros() as Micros
}

fn slack() -> Micros {
    ORDER_SLACK.as_micros() as Micros
}
