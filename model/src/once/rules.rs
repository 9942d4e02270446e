//! Rules of the at-most-once model: which events may happen, and what follows.

use super::{
    Binding, BrokenRule, CallState, Entry, EntryStatus, Event, Key, NODES, Node, Once, Parent,
    Party, Reply, SERIALS, SealedTable, State,
};

/// Decision of a node about a copy of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The copy is admitted, and will run.
    Admit,
    /// The copy waits for the result of the recorded run.
    Wait,
    /// The node replies at once.
    Reply(Reply),
}

/// Copy of a call under one of its bindings, as it arrives at a node.
#[derive(Clone, Copy)]
struct CallCopy {
    party: Party,
    serial: usize,
    binding: Binding,
}

const KEYS: [Key; 2] = [Key::Parent, Key::Child];

impl Once {
    /// Candidate events, the same in every state; [`apply`](Self::apply) returns nothing for those
    /// that cannot happen.
    pub(crate) fn events(&self, _state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for party in Party::ALL {
            events.extend([Event::ReadDone(party), Event::ReadNotRun(party)]);
            for node in 0..NODES {
                events.push(Event::Mint(party, node));
                for serial in 0..SERIALS {
                    events.push(Event::Arrive(party, serial, node));
                    events.push(Event::Refuse(party, serial, node));
                    events.push(Event::ArriveFull(party, serial, node));
                }
            }
        }
        for node in 0..NODES {
            for key in KEYS {
                let ends = [Event::Finish(node, key), Event::FailTarget(node, key)];
                events.extend([Event::Start(node, key), Event::Drop(node, key)]);
                events.extend(ends);
            }
            events.extend([
                Event::Rerun(node),
                Event::RefuseChild(node),
                Event::PropagateNotRun(node),
            ]);
            events.extend([Event::Tick(node), Event::Kill(node)]);
            events.extend([Event::Seal(node), Event::Handover(node)]);
        }
        events
    }

    /// Decision of a node about a copy of a call; nothing if no such copy was sent.
    pub fn verdict(
        &self,
        state: &State,
        party: Party,
        serial: usize,
        node: usize,
    ) -> Option<Verdict> {
        let binding = state.call(party).bindings[serial]?;
        Some(self.evaluate(&state.nodes[node], node, CallCopy { party, serial, binding }))
    }

    /// State after an event, or nothing if the event cannot happen.
    pub fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = *state;
        let enabled = match event {
            Event::Mint(party, node) => self.mint(&mut next, party, node),
            Event::Arrive(party, serial, node) => self.arrive(&mut next, party, serial, node),
            Event::Refuse(party, serial, node) => self.refuse(&mut next, party, serial, node),
            Event::ArriveFull(party, serial, node) => {
                self.arrive_full(&mut next, party, serial, node)
            }
            Event::Start(node, key) => start(&mut next, node, key),
            Event::Drop(node, key) => {
                next.nodes[node].transition(key, EntryStatus::Queued, EntryStatus::Refused)
            }
            Event::Finish(node, key) => {
                next.nodes[node].transition(key, EntryStatus::Running, EntryStatus::Done)
            }
            Event::FailTarget(node, key) => {
                next.nodes[node].transition(key, EntryStatus::Running, EntryStatus::Lost)
            }
            Event::ReadDone(party) => {
                self.read_reply(&mut next, party, Reply::Done, CallState::Done)
            }
            Event::ReadNotRun(party) => {
                self.read_reply(&mut next, party, Reply::NotRun, CallState::NotRun)
            }
            Event::Rerun(node) => self.rerun(&mut next, node),
            Event::RefuseChild(node) => self.refuse_child(&mut next, node),
            Event::PropagateNotRun(node) => self.propagate_not_run(&mut next, node),
            Event::Tick(node) => tick(&mut next, node),
            Event::Kill(node) => kill(&mut next, node),
            Event::Seal(node) => seal(&mut next, node),
            Event::Handover(node) => self.hand_over(&mut next, node),
        };
        enabled.then_some(next)
    }

    fn breaks(&self, broken: BrokenRule) -> bool {
        self.broken == Some(broken)
    }

    /// Whether a party may act on its open call: the external caller if the parent is once-only, a
    /// host while it runs the parent.
    fn may_act(&self, state: &State, party: Party) -> bool {
        let open = state.call(party).state == CallState::Open;
        match party {
            Party::Caller => open && self.parent != Parent::Repeatable,
            Party::Host(node) => open && self.parent != Parent::Leaf && state.runs_parent(node),
        }
    }

    fn mint(&self, state: &mut State, party: Party, node: usize) -> bool {
        let refused =
            self.parent == Parent::Repeatable && !self.breaks(BrokenRule::OnceInRepeatable);
        let call = *state.call(party);
        let serial = call.minted();
        if !self.may_act(state, party) || refused || serial == SERIALS {
            return false;
        }
        let not_run = serial == 0 || call.replies[serial - 1].has(Reply::NotRun);
        if !not_run && !self.breaks(BrokenRule::MintWithoutNotRun) {
            return false;
        }
        let Node { incarnation, window, .. } = state.nodes[node];
        let binding = Binding { node, incarnation, window };
        state.calls[party.index()].bindings[serial] = Some(binding);
        true
    }

    fn arrive(&self, state: &mut State, party: Party, serial: usize, node: usize) -> bool {
        let Some(binding) = state.call(party).bindings[serial] else { return false };
        let copy = CallCopy { party, serial, binding };
        match self.evaluate(&state.nodes[node], node, copy) {
            Verdict::Wait => return false,
            Verdict::Reply(reply) => state.calls[party.index()].replies[serial].add(reply),
            Verdict::Admit => state.nodes[node].record(copy, EntryStatus::Queued),
        }
        true
    }

    fn refuse(&self, state: &mut State, party: Party, serial: usize, node: usize) -> bool {
        let Some(binding) = state.call(party).bindings[serial] else { return false };
        let copy = CallCopy { party, serial, binding };
        if !matches!(self.evaluate(&state.nodes[node], node, copy), Verdict::Admit) {
            return false;
        }
        if !self.breaks(BrokenRule::NoTombstone) {
            state.nodes[node].record(copy, EntryStatus::Refused);
        }
        state.calls[party.index()].replies[serial].add(Reply::NotRun);
        true
    }

    /// Refuses a copy for lack of room. All windows are closed, so that the key needs no tombstone.
    fn arrive_full(&self, state: &mut State, party: Party, serial: usize, node: usize) -> bool {
        let Some(binding) = state.call(party).bindings[serial] else { return false };
        let copy = CallCopy { party, serial, binding };
        let admits = matches!(self.evaluate(&state.nodes[node], node, copy), Verdict::Admit);
        if !admits || state.ticks == 0 {
            return false;
        }
        state.ticks -= 1;
        let node = &mut state.nodes[node];
        node.window += 1;
        if !self.breaks(BrokenRule::FullStaysOpen) {
            node.oldest_open = node.window;
        }
        node.drop_expired();
        state.calls[party.index()].replies[serial].add(Reply::NotRun);
        true
    }

    fn evaluate(&self, node: &Node, index: usize, copy: CallCopy) -> Verdict {
        let CallCopy { party, serial, binding } = copy;
        let current = binding.node == index && binding.incarnation == node.incarnation;
        let earlier = binding.node == index && self.breaks(BrokenRule::EarlierIncarnation);
        if !current && !earlier {
            return Verdict::Reply(successor_reply(node, index, copy));
        }
        if binding.window < node.floor && !self.breaks(BrokenRule::DroppedWindow) {
            return Verdict::Reply(Reply::Unknown);
        }
        match node.table[party.key() as usize] {
            Some(entry) if entry.status == EntryStatus::Refused && serial > entry.serial => {}
            Some(entry) => return entry.status.verdict(),
            None => {}
        }
        let sealed = node.sealed && !self.breaks(BrokenRule::AdmitAfterSeal);
        let closed = binding.window < node.oldest_open && !self.breaks(BrokenRule::ClosedWindow);
        if sealed || (closed && binding.window >= node.floor) {
            return Verdict::Reply(Reply::NotRun);
        }
        Verdict::Admit
    }

    fn read_reply(&self, state: &mut State, party: Party, reply: Reply, read: CallState) -> bool {
        let call = *state.call(party);
        if !self.may_act(state, party) || call.minted() == 0 {
            return false;
        }
        let current = call.replies[call.minted() - 1].has(reply);
        let late =
            self.breaks(BrokenRule::LateReply) && call.replies.iter().any(|set| set.has(reply));
        state.calls[party.index()].state = read;
        current || late
    }

    fn rerun(&self, state: &mut State, node: usize) -> bool {
        let first = !state.nodes[node].runs_parent && state.call(Party::Host(node)).minted() == 0;
        state.nodes[node].runs_parent = true;
        self.parent == Parent::Repeatable && first
    }

    fn refuse_child(&self, state: &mut State, node: usize) -> bool {
        let refused =
            self.parent == Parent::Repeatable && !self.breaks(BrokenRule::OnceInRepeatable);
        let enabled = refused && self.may_act(state, Party::Host(node));
        state.calls[Party::Host(node).index()].state = CallState::NotRun;
        enabled
    }

    fn propagate_not_run(&self, state: &mut State, node: usize) -> bool {
        let child_not_run = state.call(Party::Host(node)).state == CallState::NotRun;
        let propagated =
            state.nodes[node].transition(Key::Parent, EntryStatus::Running, EntryStatus::Refused);
        self.breaks(BrokenRule::ChildNotRunAsParent) && child_not_run && propagated
    }

    fn hand_over(&self, state: &mut State, node: usize) -> bool {
        let Node { incarnation, floor, sealed, mut table, .. } = state.nodes[node];
        let successor = &mut state.nodes[1 - node];
        if !sealed || successor.inherited.is_some() || successor.sealed {
            return false;
        }
        for row in &mut table {
            let omits_running = self.breaks(BrokenRule::HandoverWithoutRunning);
            *row = row.filter(|entry| match entry.status {
                EntryStatus::Refused => false,
                EntryStatus::Done => true,
                EntryStatus::Queued | EntryStatus::Running | EntryStatus::Lost => !omits_running,
            });
        }
        successor.inherited = Some(SealedTable { incarnation, floor, table });
        true
    }
}

/// Reply of a node to a copy that only another incarnation may run.
fn successor_reply(node: &Node, index: usize, copy: CallCopy) -> Reply {
    let CallCopy { party, binding, .. } = copy;
    let matching = |inherited: &SealedTable| {
        binding.node != index
            && inherited.incarnation == binding.incarnation
            && inherited.floor <= binding.window
    };
    match node.inherited.filter(matching).map(|inherited| inherited.table[party.key() as usize]) {
        Some(None) => Reply::NotRun,
        Some(Some(entry)) if entry.status == EntryStatus::Done => Reply::Done,
        _ => Reply::Unknown,
    }
}

fn start(state: &mut State, node: usize, key: Key) -> bool {
    let entry = state.nodes[node].table[key as usize];
    let enabled = state.nodes[node].transition(key, EntryStatus::Queued, EntryStatus::Running);
    if let Some(entry) = entry.filter(|_| enabled) {
        let runs = &mut state.calls[entry.party.index()].runs[entry.serial];
        *runs = runs.saturating_add(1).min(2);
    }
    enabled
}

fn tick(state: &mut State, node: usize) -> bool {
    let enabled = state.ticks > 0 && !state.nodes[node].sealed;
    if enabled {
        state.ticks -= 1;
        let node = &mut state.nodes[node];
        node.oldest_open = node.oldest_open.max(node.window);
        node.window += 1;
        node.drop_expired();
    }
    enabled
}

fn kill(state: &mut State, node: usize) -> bool {
    let sealed = state.nodes[node].sealed;
    if !sealed && state.kills == 0 {
        return false;
    }
    let call = &mut state.calls[Party::Host(node).index()];
    if call.state == CallState::Open && call.minted() > 0 {
        call.state = CallState::Abandoned;
    }
    state.kills -= u8::from(!sealed);
    let incarnation = state.nodes[node].incarnation + 1;
    state.nodes[node] = Node::new(incarnation);
    true
}

fn seal(state: &mut State, node: usize) -> bool {
    let enabled = state.seals > 0 && !state.nodes[node].sealed;
    if enabled {
        state.seals -= 1;
        state.nodes[node].sealed = true;
    }
    enabled
}

impl EntryStatus {
    const fn verdict(self) -> Verdict {
        match self {
            Self::Queued | Self::Running => Verdict::Wait,
            Self::Done => Verdict::Reply(Reply::Done),
            Self::Refused => Verdict::Reply(Reply::NotRun),
            Self::Lost => Verdict::Reply(Reply::Unknown),
        }
    }
}

impl Node {
    fn record(&mut self, copy: CallCopy, status: EntryStatus) {
        let CallCopy { party, serial, binding } = copy;
        let entry = Entry { party, serial, window: binding.window, status };
        self.table[party.key() as usize] = Some(entry);
        self.drop_expired();
    }

    /// Changes the status of a recorded request if it is `from`; returns whether it was.
    fn transition(&mut self, key: Key, from: EntryStatus, to: EntryStatus) -> bool {
        let entry = self.table[key as usize].as_mut().filter(|entry| entry.status == from);
        let Some(entry) = entry else { return false };
        entry.status = to;
        self.drop_expired();
        true
    }

    /// Drops the keys of expired windows, and the tombstones of closed windows.
    ///
    /// A window expires when the current window is more than two after it, but not before its runs
    /// have ended. A sealed table drops nothing.
    fn drop_expired(&mut self) {
        if self.sealed {
            return;
        }
        let open = self.oldest_open;
        let unfinished =
            |entry: &&Entry| matches!(entry.status, EntryStatus::Queued | EntryStatus::Running);
        let oldest = self.table.iter().flatten().filter(unfinished).map(|entry| entry.window).min();
        let due = self.window.saturating_sub(2);
        let floor = oldest.map_or(due, |window| window.min(due)).max(self.floor);
        self.floor = floor;
        for row in &mut self.table {
            let obsolete =
                |entry: &Entry| entry.status == EntryStatus::Refused && entry.window < open;
            *row = row.filter(|entry| entry.window >= floor && !obsolete(entry));
        }
    }
}
