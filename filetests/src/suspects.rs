//! Sessions of kind `suspects`: requests that crash the targets that run them.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{Fingerprint, Moment, Name, Permit, SuspectRefusal, SuspectTable};

use crate::{LineError, Session, VIOLATION};

/// Time for which a suspect stays on record.
const RETENTION: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Node {
    suspects: SuspectTable,
    /// Permits of the running requests, by request name.
    running: BTreeMap<String, Permit>,
}

/// Interpreter for the targets of one service.
#[derive(Default)]
pub(crate) struct SuspectsSession {
    nodes: BTreeMap<String, Node>,
    /// Number of crashes at all targets.
    crashes: u32,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Session for SuspectsSession {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        match words {
            ["start", node] => {
                let suspects = SuspectTable::new(RETENTION, 64);
                let node_state = Node { suspects, running: BTreeMap::new() };
                self.nodes.insert((*node).to_owned(), node_state);
            }
            ["run", request, "at", node] => self.run(now, request, node)?,
            ["succeed", request, "at", node] => self.succeed(now, request, node)?,
            ["crash", node] => self.crash(now, node)?,
            ["tell", node, "to", other] => self.share_reports(now, node, other)?,
            _ => return Err(LineError::InvalidCommand),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        let crashes = self.crashes;
        self.lines.push(format!("{crashes} crashes"));
        if crashes > 2 {
            self.lines.push(format!("{VIOLATION}: one request crashed more than two targets"));
        }
        std::mem::take(&mut self.lines)
    }
}

fn fingerprint(request: &str) -> Fingerprint {
    Fingerprint::of(&Name::new("class"), request.as_bytes())
}

impl SuspectsSession {
    fn node(&mut self, name: &str) -> Result<&mut Node, LineError> {
        self.nodes.get_mut(name).ok_or(LineError::UnknownName)
    }

    fn run(&mut self, now: Moment, request: &str, at: &str) -> Result<(), LineError> {
        let node = self.node(at)?;
        let line = match node.suspects.admit(now, fingerprint(request)) {
            Ok(permit) => {
                let how = if permit == Permit::Unrestricted { "" } else { " as the only suspect" };
                node.running.insert(request.to_owned(), permit);
                format!("{at} runs {request}{how}")
            }
            Err(SuspectRefusal::Busy) => format!("{at} refuses {request} for now: a suspect runs"),
            Err(SuspectRefusal::Convicted) => {
                format!("{at} refuses {request} for good: not run (crash-suspect)")
            }
        };
        self.lines.push(line);
        Ok(())
    }

    fn succeed(&mut self, now: Moment, request: &str, at: &str) -> Result<(), LineError> {
        let node = self.node(at)?;
        let permit = node.running.remove(request).ok_or(LineError::UnknownName)?;
        node.suspects.record_success(now, fingerprint(request), permit);
        let state = node.suspects.state(now, fingerprint(request));
        self.lines.push(format!("{request} is {state:?} at {at}"));
        Ok(())
    }

    fn crash(&mut self, now: Moment, at: &str) -> Result<(), LineError> {
        self.crashes += 1;
        let node = self.node(at)?;
        let running = std::mem::take(&mut node.running);
        let names: Vec<String> = running.keys().cloned().collect();
        let runs = running.into_iter().map(|(name, permit)| (fingerprint(&name), permit));
        node.suspects.record_crash(now, runs);
        let state_line = |name: &String| {
            format!("{name} is {:?} at {at}", node.suspects.state(now, fingerprint(name)))
        };
        let lines: Vec<String> = names.iter().map(state_line).collect();
        self.lines.extend(lines);
        Ok(())
    }

    /// Merges the suspicion reports of one node into the table of another.
    fn share_reports(&mut self, now: Moment, from: &str, to: &str) -> Result<(), LineError> {
        let reports = self.node(from)?.suspects.export(now, 64);
        self.node(to)?.suspects.merge(now, &reports);
        self.lines.push(format!("{to} learns of {} requests", reports.len()));
        Ok(())
    }
}
