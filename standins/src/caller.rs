//! Stand-in for callers: sends an open-loop load and checks that each answer is complete and
//! belongs to its request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poplar_client::{Answer, Call, Client, ErrorKind, Outcome, RequestId};
use poplar_core::Name;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::graph::{ClassGraph, MixEntry};
use crate::http::{HttpClient, HttpError};
use crate::target::{AnswerBody, RequestBody, Run};

/// Calls in flight at which due calls are skipped, to bound the memory.
const MAX_IN_FLIGHT: usize = 20_000;
/// Largest number of targets' error answers that a report quotes.
const MAX_FAILURES: usize = 5;
/// Time between two progress lines on standard error.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Caller addresses of the nodes.
    pub nodes: Vec<String>,
    /// Customer whose contract governs the calls.
    pub customer: Name,
    /// Calls started per second.
    pub rate: f64,
    /// Time for which calls are started.
    pub duration: Duration,
    /// Classes that are called, with their weights.
    pub mix: Vec<MixEntry>,
    /// Child calls of each class, against which answers are checked for completeness.
    pub graph: ClassGraph,
    /// Terms of the classes; a class that is absent is repeatable and has [`Self::deadline`].
    pub classes: BTreeMap<Name, CallTerms>,
    /// Deadline of calls whose class is not in [`Self::classes`].
    pub deadline: Duration,
    /// Seed of the request ids and of the mix.
    pub seed: u64,
    /// Addresses of the targets whose run counts are read at the end.
    pub targets: Vec<String>,
}

/// Terms of a class that concern its callers.
#[derive(Debug, Clone, Copy)]
pub struct CallTerms {
    /// Whether a request of the class may run more than once.
    pub repeatable: bool,
    /// Time within which the whole answer is of use.
    pub deadline: Duration,
}

/// Counts of calls by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Calls that were started.
    pub sent: u64,
    /// Calls whose answer was complete and belonged to the request.
    pub whole: u64,
    /// Calls whose final outcome is that they did not run.
    pub refused: u64,
    /// Calls whose final outcome is that they may have run, without those in [`Self::cut`].
    pub unknown: u64,
    /// Calls whose answer was incomplete, could not be decoded or belonged to another request.
    pub wrong: u64,
    /// Calls whose connection was lost before their outcome arrived.
    pub cut: u64,
    /// Calls that the target itself answered with an error.
    pub failed: u64,
    /// Once-only requests that ran more than once, by the targets' own counts.
    pub ran_twice: u64,
    /// Requests that were reported as not run but ran, by the targets' own counts.
    pub refused_ran: u64,
    /// Bodies of the first error answers of targets, at most 5.
    pub failures: Vec<String>,
    /// Targets that returned their run counts.
    pub counted: u64,
    /// Calls that did not run or may have run, by error kind.
    pub kinds: BTreeMap<&'static str, u64>,
}

/// Outcome of one call, after its answer was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CheckedOutcome {
    Whole,
    Wrong,
    Failed(String),
    Refused(ErrorKind),
    Unknown(ErrorKind),
}

#[derive(Debug, Default)]
struct Tally {
    report: Report,
    once: BTreeSet<RequestId>,
    refused: BTreeSet<RequestId>,
}

/// Sends the load, waits for every answer and reports.
pub async fn run_caller(settings: CallerSettings) -> Result<Report, HttpError> {
    let client = Client::new(settings.nodes.clone());
    let tally = Arc::new(Mutex::new(Tally::default()));
    let settings = Arc::new(settings);
    let progress = tokio::spawn(report_progress(tally.clone()));
    let mut calls = JoinSet::new();
    let started = Instant::now();
    for number in 0.. {
        let due = Duration::from_secs_f64(number as f64 / settings.rate);
        if due >= settings.duration {
            break;
        }
        tokio::time::sleep_until(started + due).await;
        while calls.try_join_next().is_some() {}
        if calls.len() < MAX_IN_FLIGHT {
            calls.spawn(send_call(client.clone(), settings.clone(), tally.clone(), number));
        }
    }
    while calls.join_next().await.is_some() {}
    progress.abort();
    let mut tally = std::mem::take(&mut *lock(&tally));
    compare_runs(&settings, &mut tally).await?;
    Ok(tally.report)
}

fn lock(tally: &Mutex<Tally>) -> std::sync::MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn report_progress(tally: Arc<Mutex<Tally>>) {
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let report = lock(&tally).report.clone();
        let Report { sent, whole, refused, unknown, wrong, cut, failed, .. } = report;
        eprintln!(
            "caller: sent={sent} whole={whole} refused={refused} unknown={unknown} \
             failed={failed} wrong={wrong} cut={cut}"
        );
    }
}

async fn send_call(
    client: Client,
    settings: Arc<CallerSettings>,
    tally: Arc<Mutex<Tally>>,
    number: u64,
) {
    let request = RequestId((u128::from(settings.seed) << 64) | 1).child(number as u32);
    let nonce = (request.0 >> 64) as u64;
    let class = pick_class(&settings.mix, nonce);
    let default = CallTerms { repeatable: true, deadline: settings.deadline };
    let terms = settings.classes.get(&class).copied().unwrap_or(default);
    let body = serde_json::to_vec(&RequestBody { nonce, crash: None }).unwrap_or_default();
    let call = Call::new(settings.customer.as_str(), class.as_str(), terms.deadline)
        .with_request(request)
        .with_body(body);
    lock(&tally).report.sent += 1;
    let outcome = client.call(call).await;
    let checked = check_outcome(&settings.graph, &class, request, nonce, outcome);
    let mut tally = lock(&tally);
    if !terms.repeatable {
        tally.once.insert(request);
    }
    if let CheckedOutcome::Refused(_) = checked {
        tally.refused.insert(request);
    }
    tally.report.add(checked);
}

/// Picks a class by weight with a random number; an empty mix gives an empty name.
fn pick_class(mix: &[MixEntry], random: u64) -> Name {
    let total = mix.iter().map(|entry| entry.weight).sum::<u64>().max(1);
    let mut rest = random % total;
    for entry in mix {
        if rest < entry.weight {
            return entry.class.clone();
        }
        rest -= entry.weight;
    }
    Name::new("")
}

fn check_outcome(
    graph: &ClassGraph,
    class: &Name,
    request: RequestId,
    nonce: u64,
    outcome: Outcome<Answer>,
) -> CheckedOutcome {
    match outcome {
        Outcome::NotRun { kind, .. } => CheckedOutcome::Refused(kind),
        Outcome::Unknown { kind } => CheckedOutcome::Unknown(kind),
        Outcome::Done(answer) if answer.status != 200 => {
            CheckedOutcome::Failed(String::from_utf8_lossy(&answer.body).into_owned())
        }
        Outcome::Done(answer) => match serde_json::from_slice::<AnswerBody>(&answer.body) {
            Ok(document) if answers_request(graph, class, request, nonce, &document) => {
                CheckedOutcome::Whole
            }
            _ => CheckedOutcome::Wrong,
        },
    }
}

fn answers_request(
    graph: &ClassGraph,
    class: &Name,
    request: RequestId,
    nonce: u64,
    root: &AnswerBody,
) -> bool {
    let mut ids = BTreeSet::new();
    root.request == request.to_string() && is_complete(graph, class, nonce, root, &mut ids)
}

/// Whether an answer is of the given class, carries the nonce, contains the answer of every child
/// call, and has no request id twice.
fn is_complete<'a>(
    graph: &ClassGraph,
    class: &Name,
    nonce: u64,
    document: &'a AnswerBody,
    ids: &mut BTreeSet<&'a str>,
) -> bool {
    let expected = graph.children(class.as_str());
    document.class == class.as_str()
        && document.nonce == nonce
        && ids.insert(&document.request)
        && document.children.len() == expected.len()
        && expected
            .iter()
            .zip(&document.children)
            .all(|(child, part)| is_complete(graph, child, nonce, part, ids))
}

impl Report {
    fn add(&mut self, checked: CheckedOutcome) {
        let (count, kind) = match checked {
            CheckedOutcome::Whole => (&mut self.whole, None),
            CheckedOutcome::Wrong => (&mut self.wrong, None),
            CheckedOutcome::Failed(text) => {
                if self.failures.len() < MAX_FAILURES {
                    self.failures.push(text);
                }
                (&mut self.failed, None)
            }
            CheckedOutcome::Refused(kind) => (&mut self.refused, Some(kind)),
            CheckedOutcome::Unknown(ErrorKind::Connection) => {
                (&mut self.cut, Some(ErrorKind::Connection))
            }
            CheckedOutcome::Unknown(kind) => (&mut self.unknown, Some(kind)),
        };
        *count += 1;
        if let Some(kind) = kind {
            *self.kinds.entry(kind.label()).or_default() += 1;
        }
    }
}

/// Compares the outcomes that callers received with the runs that targets counted.
async fn compare_runs(settings: &CallerSettings, tally: &mut Tally) -> Result<(), HttpError> {
    let client = HttpClient::default();
    let mut runs = BTreeMap::<RequestId, Run>::new();
    for target in &settings.targets {
        // A target that has stopped cannot return its counts; `counted` excludes it.
        let Ok(counts) = client.get(target, "/control/runs").await else { continue };
        tally.report.counted += 1;
        for (request, run) in counts.json::<BTreeMap<String, Run>>()? {
            if let Ok(request) = request.parse() {
                let known = Run { class: run.class.clone(), count: 0 };
                runs.entry(request).or_insert(known).count += run.count;
            }
        }
    }
    let count = |id: &RequestId| runs.get(id).map_or(0, |run| run.count);
    let once = |run: &&Run| {
        let terms = settings.classes.get(&Name::new(&run.class));
        terms.is_some_and(|terms| !terms.repeatable)
    };
    // Child calls have their own request ids, so the class that the target recorded determines
    // whether the request was once-only.
    let twice = runs.values().filter(once).filter(|run| run.count > 1);
    tally.report.ran_twice = twice.count() as u64;
    tally.report.refused_ran = tally.refused.iter().filter(|id| count(id) > 0).count() as u64;
    Ok(())
}
