//! Requests that end the targets which run them, known again under other identifiers.
//!
//! Each run that was in flight when its target ended is a *mark* against its request, and a
//! success ends all marks from before it. Marks count only as far as they follow one another: runs
//! that were under way at the same time may have met one cause, such as the loss of a rack. From the second on
//! a request runs alone among those under suspicion, from the third on it is refused for growing
//! times, unless it ended well of late. Marks and successes are sets that merge in any order, so that all nodes agree on the
//! count without asking each other. See
//! [crashing requests](../../docs/design/crashing-requests.md).

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;
use crate::suspects::Fingerprint;
use crate::time::Moment;

/// Marks from which a request runs alone; one is what every bystander of a crash has.
const ISOLATION_MARKS: usize = 2;
/// Marks from which a request is refused; the operators let it crash three targets.
const REFUSAL_MARKS: usize = 3;
/// Time after the last crash for which a request is refused, by its marks beyond those. Each trial
/// may cost a target, and operators allow three in all.
const REFUSAL_TIMES: [Duration; 3] =
    [Duration::from_secs(10), Duration::from_secs(600), Duration::from_secs(3_600)];
/// Time for which marks are kept while they are too few to refuse the request.
const MARK_RETENTION: Duration = Duration::from_secs(600);
/// Time for which marks are kept that make the request be refused.
const REFUSED_RETENTION: Duration = Duration::from_secs(86_400);
/// Time for which a success is kept, so that marks from before it that come late do not count.
const SUCCESS_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a mark is told to new neighbours whatever its request; subscriptions are made anew
/// within it after starts and losses.
const RECENT_CRASH_TIME: Duration = Duration::from_secs(10);
/// Most marks of one request; more say nothing new.
const MAX_MARKS: usize = 8;
/// Time by which two nodes may differ about the order of two events, from messages on their way.
const ORDER_SLACK: Duration = Duration::from_millis(20);
/// Time by which a moment must differ from the one that is known to be another event, rather than the
/// same one told over a slower path.
const SAME_EVENT_TOLERANCE: Duration = Duration::from_secs(1);

/// One life of a target, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetLifetime(u64);

impl TargetLifetime {
    /// Life of `instance` that began at `born`, in milliseconds of Unix time on its own clock.
    pub fn of(instance: &InstanceId, born: u64) -> Self {
        Self(xxh3_64_with_seed(instance.0.as_str().as_bytes(), born))
    }
}

/// Run that was in flight when its target ended, as nodes tell it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// Request.
    pub print: Fingerprint,
    /// Life that ended.
    pub life: TargetLifetime,
    /// Time since the run began.
    pub began: Duration,
    /// Time since the target ended, as far as is known.
    pub ended: Duration,
}

/// Success of a request that had marks, as nodes tell it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccessReport {
    /// Request.
    pub print: Fingerprint,
    /// Time since the success.
    pub age: Duration,
}

/// What one node tells others of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Marks.
    pub marks: Vec<CrashMark>,
    /// Successes.
    #[serde(rename = "pardons")]
    pub successes: Vec<SuccessReport>,
}

impl CrashNews {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.successes.is_empty()
    }

    /// Adds what `other` says.
    pub fn extend(&mut self, other: Self) {
        self.marks.extend(other.marks);
        self.successes.extend(other.successes);
    }

    /// The same, told `later`.
    pub fn aged(mut self, later: Duration) -> Self {
        for mark in &mut self.marks {
            mark.began += later;
            mark.ended += later;
        }
        for pardon in &mut self.successes {
            pardon.age += later;
        }
        self
    }
}

/// How a request may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashAdmission {
    /// As any other.
    Unrestricted,
    /// As the only one under suspicion at its target.
    Isolated,
    /// Not before this time is over.
    Refused(Duration),
}

/// Microseconds on the clock of this process; before its start they are negative.
type Micros = i64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Mark {
    life: TargetLifetime,
    began: Micros,
    ended: Micros,
}

#[derive(Debug, Default)]
struct Record {
    /// Marks in the order of their ends.
    marks: Vec<Mark>,
    success: Option<Micros>,
    /// Whether this node has seen one of the crashes itself.
    seen_locally: bool,
}

/// Marks and successes that one node knows.
///
/// Holds at most `capacity` requests, each of up to some 300 bytes; those with the fewest marks
/// give way.
#[derive(Debug)]
pub struct CrashHistory {
    capacity: usize,
    records: HashMap<Fingerprint, Record>,
    recent: RecentSuccesses,
}

impl CrashHistory {
    /// Knows nothing yet.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: HashMap::new(), recent: RecentSuccesses::default() }
    }

    /// How the request may run at `now`.
    pub fn admission(&self, now: Moment, print: Fingerprint) -> CrashAdmission {
        let Some(record) = self.records.get(&print) else { return CrashAdmission::Unrestricted };
        record.admission(micros(now))
    }

    /// Crashes of the request that count.
    pub fn count(&self, print: Fingerprint) -> usize {
        self.records.get(&print).map_or(0, Record::count)
    }

    /// Whether no request has a mark.
    pub fn is_clear(&self) -> bool {
        self.records.values().all(|record| record.marks.is_empty())
    }

    /// Number of requests that are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes in that a run of the request ended well at `now`; returns what others should know.
    pub fn record_success(&mut self, now: Moment, print: Fingerprint) -> CrashNews {
        self.recent.record(micros(now), print);
        let marked = self.records.get(&print).is_some_and(|record| !record.marks.is_empty());
        if !marked {
            return CrashNews::default();
        }
        self.apply_success(micros(now), print);
        CrashNews {
            successes: vec![SuccessReport { print, age: Duration::ZERO }],
            ..Default::default()
        }
    }

    /// Takes in what this node or another one has seen; returns what of it was news, and what is
    /// known against it.
    pub fn merge(&mut self, now: Moment, told: &CrashNews) -> CrashNews {
        let at = |age: Duration| micros(now) - age.as_micros() as Micros;
        let mut news = CrashNews::default();
        for pardon in &told.successes {
            if self.apply_success(at(pardon.age), pardon.print) {
                news.successes.push(*pardon);
            }
        }
        for told in &told.marks {
            let mark = Mark { life: told.life, began: at(told.began), ended: at(told.ended) };
            if let Some(success) = self.recent.last(told.print).filter(|last| *last > mark.began) {
                if self.apply_success(success, told.print) {
                    news.successes.push(success_report(now, told.print, success));
                }
                continue;
            }
            if self.apply_mark(told.print, mark) {
                news.marks.push(*told);
            }
            // Others must know that it ended well of late, whatever has come since.
            if let Some(success) = self.recent.last(told.print)
                && self.apply_success(success, told.print)
            {
                news.successes.push(success_report(now, told.print, success));
            }
        }
        self.evict();
        news
    }

    /// Takes in a crash that this node has seen; returns what others should know.
    pub fn record_local(&mut self, now: Moment, mark: CrashMark) -> CrashNews {
        let news = self.merge(now, &CrashNews { marks: vec![mark], ..CrashNews::default() });
        if let Some(record) = self.records.get_mut(&mark.print) {
            record.seen_locally = true;
        }
        news
    }

    /// Whether `news` have a request refused of whose crashes this node has seen one, so that it sees
    /// to it that they outlive all processes. The others may have been told in any order.
    pub fn must_persist(&self, news: &CrashNews) -> bool {
        news.marks.iter().any(|mark| {
            let record = self.records.get(&mark.print);
            record.is_some_and(|record| record.seen_locally && record.count() >= REFUSAL_MARKS)
        })
    }

    /// What others should know of one request.
    pub fn export_request(&self, now: Moment, print: Fingerprint) -> CrashNews {
        let mut news = CrashNews::default();
        if let Some(record) = self.records.get(&print) {
            record.export(micros(now), print, &mut news);
        }
        news
    }

    /// What a node must be told that has been told nothing yet: the requests that do not run as others
    /// do, and those that may come again at once.
    pub fn export_for_peer(&self, now: Moment) -> CrashNews {
        let recent = micros(now) - RECENT_CRASH_TIME.as_micros() as Micros;
        self.export_where(now, |record| {
            record.count() >= ISOLATION_MARKS || record.last_crash() > recent
        })
    }

    /// The requests that are refused, for processes that start later.
    pub fn export_refused(&self, now: Moment) -> CrashNews {
        self.export_where(now, |record| record.count() >= REFUSAL_MARKS)
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Moment) {
        let now = micros(now);
        self.records.retain(|_, record| record.expiry() > now);
    }

    /// Checks the bounds and the order of the marks, and says what is wrong.
    pub fn verify(&self) -> Result<(), String> {
        if self.records.len() > self.capacity {
            return Err(format!("{} requests are known", self.records.len()));
        }
        for (print, record) in &self.records {
            let ordered = record.marks.is_sorted_by_key(|mark| mark.ended);
            if record.marks.len() > MAX_MARKS || !ordered {
                return Err(format!("{print:?} has {:?}", record.marks));
            }
            if record.success.is_some_and(|at| record.marks.iter().any(|mark| mark.began <= at)) {
                return Err(format!("{print:?} has marks from before its success"));
            }
        }
        Ok(())
    }

    fn export_where(&self, now: Moment, which: impl Fn(&Record) -> bool) -> CrashNews {
        let mut news = CrashNews::default();
        for (print, record) in self.records.iter().filter(|(_, record)| which(record)) {
            record.export(micros(now), *print, &mut news);
        }
        news
    }

    fn apply_success(&mut self, at: Micros, print: Fingerprint) -> bool {
        let record = self.records.entry(print).or_default();
        let known = record.success.replace(record.success.map_or(at, |known| known.max(at)));
        let marks = record.marks.len();
        record.marks.retain(|mark| mark.began > at);
        record.marks.len() < marks || known.is_none_or(|known| known + same_event() < at)
    }

    fn apply_mark(&mut self, print: Fingerprint, mark: Mark) -> bool {
        let record = self.records.entry(print).or_default();
        if record.success.is_some_and(|at| mark.began <= at) {
            return false;
        }
        // Of several runs in one life the latest counts: the others were before it or beside it.
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
            .map(|(print, record)| (record.count(), record.expiry(), *print))
            .collect();
        ranks.sort_unstable();
        // A part at a time, so that a flood of new ones does not sort all for each.
        let surplus = self.records.len() - self.capacity + self.capacity / 8;
        for (_, _, print) in ranks.into_iter().take(surplus) {
            self.records.remove(&print);
        }
    }
}

impl Record {
    /// Crashes that follow one another: the longest row of marks of which each run began after the
    /// end before it.
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
        // One that ended well a moment ago has met other requests' crashes; refused by all, it could
        // not show that any more.
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
        let memory = if self.count() >= REFUSAL_MARKS { REFUSED_RETENTION } else { MARK_RETENTION };
        let marks = self.last_crash() + memory.as_micros() as Micros;
        let success = self.success.map(|at| at + SUCCESS_RETENTION.as_micros() as Micros);
        success.map_or(marks, |success| marks.max(success))
    }

    fn export(&self, now: Micros, print: Fingerprint, news: &mut CrashNews) {
        let age = |at: Micros| Duration::from_micros(now.saturating_sub(at).max(0) as u64);
        news.marks.extend(self.marks.iter().map(|mark| {
            let (began, ended) = (age(mark.began), age(mark.ended));
            CrashMark { print, life: mark.life, began, ended }
        }));
        news.successes.extend(self.success.map(|at| SuccessReport { print, age: age(at) }));
    }
}

/// Requests that ended well of late, whether or not they have marks: a popular one that was in
/// flight at some crashes is known to be sound before anybody asks.
#[derive(Debug, Default)]
struct RecentSuccesses {
    rotated_at: Micros,
    current: HashMap<Fingerprint, Micros>,
    previous: HashMap<Fingerprint, Micros>,
}

impl RecentSuccesses {
    /// Time for which a success is remembered at least, if there are not too many; longer than a
    /// target takes to come back, with which a silent end becomes known.
    const RETENTION: Duration = Duration::from_secs(15);
    /// Successes in each half of the memory, of 16 bytes each.
    const MAX_PER_GENERATION: usize = 2_048;

    fn record(&mut self, now: Micros, print: Fingerprint) {
        let full =
            self.current.len() >= Self::MAX_PER_GENERATION && !self.current.contains_key(&print);
        if full || now - self.rotated_at > Self::RETENTION.as_micros() as Micros {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
        self.current.insert(print, now);
    }

    fn last(&self, print: Fingerprint) -> Option<Micros> {
        self.current.get(&print).or_else(|| self.previous.get(&print)).copied()
    }
}

fn success_report(now: Moment, print: Fingerprint, success: Micros) -> SuccessReport {
    let age = Duration::from_micros(micros(now).saturating_sub(success).max(0) as u64);
    SuccessReport { print, age }
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
