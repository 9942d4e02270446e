//! Stand-in for callers: open-loop load whose every answer is checked to be whole and its own.

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

/// Calls in flight beyond which no further one is started, so that memory stays bounded.
const MAX_IN_FLIGHT: usize = 20_000;
/// Errors of targets that a report quotes.
const MAX_FAILURES: usize = 5;
/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What a caller is started with.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Caller addresses of the nodes.
    pub nodes: Vec<String>,
    /// Customer whose contract governs the calls.
    pub customer: Name,
    /// Calls a second.
    pub rate: f64,
    /// Time for which calls are started.
    pub duration: Duration,
    /// Classes and their shares.
    pub mix: Vec<MixEntry>,
    /// Child calls of each class, so that an answer can be checked to be whole.
    pub graph: ClassGraph,
    /// Terms of the classes; one that is absent may be repeated and has [`Self::deadline`].
    pub classes: BTreeMap<Name, CallTerms>,
    /// Time within which an answer is wanted unless its class says otherwise.
    pub deadline: Duration,
    /// Seed of the request ids and of the mix.
    pub seed: u64,
    /// Addresses of the targets whose counts of runs are read at the end.
    pub targets: Vec<String>,
}

/// Terms of a class that concern its callers.
#[derive(Debug, Clone, Copy)]
pub struct CallTerms {
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Time within which an answer is wanted.
    pub deadline: Duration,
}

/// Counts of calls by what came of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Calls that were started.
    pub sent: u64,
    /// Calls whose answer came back whole and their own.
    pub whole: u64,
    /// Calls whose last word was that they did not run.
    pub refused: u64,
    /// Calls whose last word was that they may have run.
    pub unknown: u64,
    /// Answers that were foreign or only a part.
    pub wrong: u64,
    /// Calls whose connection was lost without a last word.
    pub cut: u64,
    /// Calls that the target itself answered with an error.
    pub failed: u64,
    /// Once-only requests that ran more than once, by the targets' own counts.
    pub ran_twice: u64,
    /// Requests that were told "not run" but ran, by the targets' own counts.
    pub refused_ran: u64,
    /// First words of the targets' own errors, at most 5.
    pub failures: Vec<String>,
    /// Targets that gave their counts.
    pub counted: u64,
    /// Refusals, unknown outcomes and failures by kind.
    pub kinds: BTreeMap<&'static str, u64>,
}

/// What came of one call.
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
    let begun = Instant::now();
    for number in 0.. {
        let due = Duration::from_secs_f64(number as f64 / settings.rate);
        if due >= settings.duration {
            break;
        }
        tokio::time::sleep_until(begun + due).await;
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
    let verdict = check_outcome(&settings.graph, &class, request, nonce, outcome);
    let mut tally = lock(&tally);
    if !terms.repeatable {
        tally.once.insert(request);
    }
    if let CheckedOutcome::Refused(_) = verdict {
        tally.refused.insert(request);
    }
    tally.report.add(verdict);
}

/// Class for a random number; an empty mix gives an empty name.
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

/// Whether a document is of its class, carries the nonce, has every child, and no id stands twice.
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
    fn add(&mut self, verdict: CheckedOutcome) {
        let (count, kind) = match verdict {
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

/// Compares what the callers were told with what the targets counted.
async fn compare_runs(settings: &CallerSettings, tally: &mut Tally) -> Result<(), HttpError> {
    let client = HttpClient::default();
    let mut runs = BTreeMap::<RequestId, Run>::new();
    for target in &settings.targets {
        // A target that has stopped by now has no counts to give.
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
    // Child calls have ids of their own, so the targets' classes tell which ones count.
    let twice = runs.values().filter(once).filter(|run| run.count > 1);
    tally.report.ran_twice = twice.count() as u64;
    tally.report.refused_ran = tally.refused.iter().filter(|id| count(id) > 0).count() as u64;
    Ok(())
}
