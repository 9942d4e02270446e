//! Rules of the at-most-once model: which events may happen, and what follows.

use super::{
    Binding, Broken, Entry, Event, Fate, FlowState, Key, NODES, Node, Once, Parent, Party, Reply,
    SERIALS, Sealed, State,
};

/// What a node makes of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is to run.
    Admit,
    /// It waits for the run that is on record.
    Wait,
    /// It is answered.
    Reply(Reply),
}

/// Copy of a call, as it arrives.
#[derive(Clone, Copy)]
struct Sent {
    party: Party,
    serial: usize,
    binding: Binding,
}

const KEYS: [Key; 2] = [Key::Parent, Key::Child];

impl Once {
    /// Events that could be tried in a state; [`apply`](Self::apply) says which may happen.
    pub(crate) fn events(&self, _state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for party in Party::ALL {
            events.extend([Event::Done(party), Event::NotRun(party)]);
            for node in 0..NODES {
                events.push(Event::Mint(party, node));
                for serial in 0..SERIALS {
                    events.push(Event::Arrive(party, serial, node));
                    events.push(Event::Refuse(party, serial, node));
                    events.push(Event::Full(party, serial, node));
                }
            }
        }
        for node in 0..NODES {
            for key in KEYS {
                let ends = [Event::Finish(node, key), Event::Lose(node, key)];
                events.extend([Event::Start(node, key), Event::Drop(node, key)]);
                events.extend(ends);
            }
            events.extend([Event::Rerun(node), Event::RefuseChild(node), Event::PassOn(node)]);
            events.extend([Event::Tick(node), Event::Kill(node)]);
            events.extend([Event::Seal(node), Event::Handover(node)]);
        }
        events
    }

    /// What a node makes of a copy of a call; nothing if no such copy was sent.
    pub fn verdict(
        &self,
        state: &State,
        party: Party,
        serial: usize,
        node: usize,
    ) -> Option<Verdict> {
        let binding = state.flow(party).sent[serial]?;
        Some(self.judge(&state.nodes[node], node, Sent { party, serial, binding }))
    }

    /// State after an event, or nothing if it may not happen.
    pub fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = *state;
        let may = match event {
            Event::Mint(party, node) => self.mint(&mut next, party, node),
            Event::Arrive(party, serial, node) => self.arrive(&mut next, party, serial, node),
            Event::Refuse(party, serial, node) => self.refuse(&mut next, party, serial, node),
            Event::Full(party, serial, node) => self.full(&mut next, party, serial, node),
            Event::Start(node, key) => start(&mut next, node, key),
            Event::Drop(node, key) => next.nodes[node].turn(key, Fate::Queued, Fate::Refused),
            Event::Finish(node, key) => next.nodes[node].turn(key, Fate::Running, Fate::Done),
            Event::Lose(node, key) => next.nodes[node].turn(key, Fate::Running, Fate::Lost),
            Event::Done(party) => self.read(&mut next, party, Reply::Done, FlowState::Done),
            Event::NotRun(party) => self.read(&mut next, party, Reply::NotRun, FlowState::NotRun),
            Event::Rerun(node) => self.rerun(&mut next, node),
            Event::RefuseChild(node) => self.refuse_child(&mut next, node),
            Event::PassOn(node) => self.pass_on(&mut next, node),
            Event::Tick(node) => tick(&mut next, node),
            Event::Kill(node) => kill(&mut next, node),
            Event::Seal(node) => seal(&mut next, node),
            Event::Handover(node) => self.hand_over(&mut next, node),
        };
        may.then_some(next)
    }

    fn is(&self, broken: Broken) -> bool {
        self.broken == Some(broken)
    }

    /// Whether a party may act: the caller always, a host while its run of the parent goes on.
    fn acts(&self, state: &State, party: Party) -> bool {
        let open = state.flow(party).state == FlowState::Open;
        match party {
            Party::Caller => open && self.parent != Parent::Repeatable,
            Party::Host(node) => open && self.parent != Parent::Leaf && state.hosts(node),
        }
    }

    fn mint(&self, state: &mut State, party: Party, node: usize) -> bool {
        let refused = self.parent == Parent::Repeatable && !self.is(Broken::OnceInRepeatable);
        let flow = *state.flow(party);
        let serial = flow.minted();
        if !self.acts(state, party) || refused || serial == SERIALS {
            return false;
        }
        let word = serial == 0 || flow.replies[serial - 1].has(Reply::NotRun);
        if !word && !self.is(Broken::MintWithoutWord) {
            return false;
        }
        let Node { incarnation, window, .. } = state.nodes[node];
        let binding = Binding { node, incarnation, window };
        state.flows[party.index()].sent[serial] = Some(binding);
        true
    }

    fn arrive(&self, state: &mut State, party: Party, serial: usize, node: usize) -> bool {
        let Some(binding) = state.flow(party).sent[serial] else { return false };
        let copy = Sent { party, serial, binding };
        match self.judge(&state.nodes[node], node, copy) {
            Verdict::Wait => return false,
            Verdict::Reply(reply) => state.flows[party.index()].replies[serial].add(reply),
            Verdict::Admit => state.nodes[node].record(copy, Fate::Queued),
        }
        true
    }

    fn refuse(&self, state: &mut State, party: Party, serial: usize, node: usize) -> bool {
        let Some(binding) = state.flow(party).sent[serial] else { return false };
        let copy = Sent { party, serial, binding };
        if !matches!(self.judge(&state.nodes[node], node, copy), Verdict::Admit) {
            return false;
        }
        if !self.is(Broken::NoTombstone) {
            state.nodes[node].record(copy, Fate::Refused);
        }
        state.flows[party.index()].replies[serial].add(Reply::NotRun);
        true
    }

    /// There is no room for the key: all windows are closed, so that it needs no tombstone.
    fn full(&self, state: &mut State, party: Party, serial: usize, node: usize) -> bool {
        let Some(binding) = state.flow(party).sent[serial] else { return false };
        let copy = Sent { party, serial, binding };
        let admits = matches!(self.judge(&state.nodes[node], node, copy), Verdict::Admit);
        if !admits || state.ticks == 0 {
            return false;
        }
        state.ticks -= 1;
        let place = &mut state.nodes[node];
        place.window += 1;
        if !self.is(Broken::FullStaysOpen) {
            place.open = place.window;
        }
        place.settle();
        state.flows[party.index()].replies[serial].add(Reply::NotRun);
        true
    }

    fn judge(&self, node: &Node, index: usize, copy: Sent) -> Verdict {
        let Sent { party, serial, binding } = copy;
        let own = binding.node == index && binding.incarnation == node.incarnation;
        let earlier = binding.node == index && self.is(Broken::ForeignIncarnation);
        if !own && !earlier {
            return Verdict::Reply(successor_reply(node, index, copy));
        }
        if binding.window < node.floor && !self.is(Broken::DroppedWindow) {
            return Verdict::Reply(Reply::Unknown);
        }
        match node.table[party.key() as usize] {
            Some(entry) if entry.fate == Fate::Refused && serial > entry.serial => {}
            Some(entry) => return entry.fate.verdict(),
            None => {}
        }
        let sealed = node.sealed && !self.is(Broken::AdmitAfterSeal);
        let closed = binding.window < node.open && !self.is(Broken::ClosedWindow);
        if sealed || (closed && binding.window >= node.floor) {
            return Verdict::Reply(Reply::NotRun);
        }
        Verdict::Admit
    }

    fn read(&self, state: &mut State, party: Party, reply: Reply, told: FlowState) -> bool {
        let flow = *state.flow(party);
        if !self.acts(state, party) || flow.minted() == 0 {
            return false;
        }
        let current = flow.replies[flow.minted() - 1].has(reply);
        let late = self.is(Broken::LateWord) && flow.replies.iter().any(|set| set.has(reply));
        state.flows[party.index()].state = told;
        current || late
    }

    fn rerun(&self, state: &mut State, node: usize) -> bool {
        let first = !state.nodes[node].hosts && state.flow(Party::Host(node)).minted() == 0;
        state.nodes[node].hosts = true;
        self.parent == Parent::Repeatable && first
    }

    fn refuse_child(&self, state: &mut State, node: usize) -> bool {
        let refused = self.parent == Parent::Repeatable && !self.is(Broken::OnceInRepeatable);
        let may = refused && self.acts(state, Party::Host(node));
        state.flows[Party::Host(node).index()].state = FlowState::NotRun;
        may
    }

    fn pass_on(&self, state: &mut State, node: usize) -> bool {
        let told = state.flow(Party::Host(node)).state == FlowState::NotRun;
        let passed = state.nodes[node].turn(Key::Parent, Fate::Running, Fate::Refused);
        self.is(Broken::ChildForParent) && told && passed
    }

    fn hand_over(&self, state: &mut State, node: usize) -> bool {
        let Node { incarnation, floor, sealed, mut table, .. } = state.nodes[node];
        let successor = &mut state.nodes[1 - node];
        if !sealed || successor.heir.is_some() || successor.sealed {
            return false;
        }
        for row in &mut table {
            let lacking = self.is(Broken::HandoverWithoutRunning);
            *row = row.filter(|entry| match entry.fate {
                Fate::Refused => false,
                Fate::Done => true,
                Fate::Queued | Fate::Running | Fate::Lost => !lacking,
            });
        }
        successor.heir = Some(Sealed { incarnation, floor, table });
        true
    }
}

/// What a node says of a copy that another incarnation alone may run.
fn successor_reply(node: &Node, index: usize, copy: Sent) -> Reply {
    let Sent { party, binding, .. } = copy;
    let matching = |heir: &Sealed| {
        binding.node != index
            && heir.incarnation == binding.incarnation
            && heir.floor <= binding.window
    };
    match node.heir.filter(matching).map(|heir| heir.table[party.key() as usize]) {
        Some(None) => Reply::NotRun,
        Some(Some(entry)) if entry.fate == Fate::Done => Reply::Done,
        _ => Reply::Unknown,
    }
}

fn start(state: &mut State, node: usize, key: Key) -> bool {
    let entry = state.nodes[node].table[key as usize];
    let may = state.nodes[node].turn(key, Fate::Queued, Fate::Running);
    if let Some(entry) = entry.filter(|_| may) {
        let runs = &mut state.flows[entry.party.index()].runs[entry.serial];
        *runs = runs.saturating_add(1).min(2);
    }
    may
}

fn tick(state: &mut State, node: usize) -> bool {
    let may = state.ticks > 0 && !state.nodes[node].sealed;
    if may {
        state.ticks -= 1;
        let place = &mut state.nodes[node];
        place.open = place.open.max(place.window);
        place.window += 1;
        place.settle();
    }
    may
}

fn kill(state: &mut State, node: usize) -> bool {
    let free = state.nodes[node].sealed;
    if !free && state.kills == 0 {
        return false;
    }
    let flow = &mut state.flows[Party::Host(node).index()];
    if flow.state == FlowState::Open && flow.minted() > 0 {
        flow.state = FlowState::Gone;
    }
    state.kills -= u8::from(!free);
    let incarnation = state.nodes[node].incarnation + 1;
    state.nodes[node] = Node::new(incarnation);
    true
}

fn seal(state: &mut State, node: usize) -> bool {
    let may = state.seals > 0 && !state.nodes[node].sealed;
    if may {
        state.seals -= 1;
        state.nodes[node].sealed = true;
    }
    may
}

impl Fate {
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
    fn record(&mut self, copy: Sent, fate: Fate) {
        let Sent { party, serial, binding } = copy;
        let entry = Entry { party, serial, window: binding.window, fate };
        self.table[party.key() as usize] = Some(entry);
        self.settle();
    }

    /// Turns what is known of a request, if it was `from`.
    fn turn(&mut self, key: Key, from: Fate, to: Fate) -> bool {
        let entry = self.table[key as usize].as_mut().filter(|entry| entry.fate == from);
        let Some(entry) = entry else { return false };
        entry.fate = to;
        self.settle();
        true
    }

    /// Drops windows that are over, and tombstones of closed ones.
    ///
    /// A window is dropped two windows after it was closed, but not before its runs have ended.
    fn settle(&mut self) {
        if self.sealed {
            return;
        }
        let open = self.open;
        let busy = |entry: &&Entry| matches!(entry.fate, Fate::Queued | Fate::Running);
        let oldest = self.table.iter().flatten().filter(busy).map(|entry| entry.window).min();
        let due = self.window.saturating_sub(2);
        let floor = oldest.map_or(due, |window| window.min(due)).max(self.floor);
        self.floor = floor;
        for row in &mut self.table {
            let spent = |entry: &Entry| entry.fate == Fate::Refused && entry.window < open;
            *row = row.filter(|entry| entry.window >= floor && !spent(entry));
        }
    }
}
