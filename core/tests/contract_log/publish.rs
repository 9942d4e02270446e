//! Results that an operator gets if appends, acknowledgements or records of the log are lost.

use poplar_core::{
    ContractRecord, ContractState, MAX_PUBLISHED, Moment, Offset, PublishAction, PublishPlan,
    PublishResult, Publisher, ReadAction, Revision, Verdict, publish_id,
};

use crate::log::{Log, contract, customer, publish, state_of};

/// What happens to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendResult {
    Acknowledged,
    EffectiveWithoutAck,
    Lost,
}

/// Log and one node that reads it, on a clock in milliseconds.
struct World {
    log: Log,
    /// Results of the next appends, the last one first; later ones are acknowledged.
    appends: Vec<AppendResult>,
    node_up: bool,
    /// Number of records that the node has not read yet.
    lag: usize,
    clock: u64,
}

impl World {
    fn new(appends: &[AppendResult]) -> Self {
        Self { log: Log::default(), appends: appends.to_vec(), node_up: true, lag: 0, clock: 0 }
    }

    fn node(&self) -> ContractState {
        let read = self.log.end() - self.lag;
        state_of(&self.log.records()[..read])
    }

    fn publisher(&self, body: u64, base: Option<u64>) -> Publisher {
        let plan = PublishPlan {
            contract: contract(body),
            body: body.to_le_bytes().to_vec(),
            base: base.map(Revision),
            deadline: Moment::from_millis(self.clock + 20_000),
            restart: false,
        };
        Publisher::new(Moment::from_millis(self.clock), plan)
    }

    fn run(&mut self, mut publisher: Publisher) -> PublishResult {
        loop {
            self.clock += 50;
            if let Some(result) = self.step(&mut publisher) {
                return result;
            }
        }
    }

    fn step(&mut self, publisher: &mut Publisher) -> Option<PublishResult> {
        let now = Moment::from_millis(self.clock);
        match publisher.poll(now) {
            PublishAction::Done(result) => return Some(result),
            PublishAction::QueryStatus { customer, id } => {
                let status = self.node_up.then(|| self.node().publish_status(&customer, id));
                publisher.on_status(now, status);
            }
            PublishAction::Log(ReadAction::Read { from, .. }) => {
                publisher.on_read(now, 0, &self.log.read(from, 2));
            }
            PublishAction::Log(ReadAction::Append(record)) => {
                let append = self.appends.pop().unwrap_or(AppendResult::Acknowledged);
                if append != AppendResult::Lost {
                    self.log.append(record);
                }
                match append {
                    AppendResult::Acknowledged => publisher.on_append(now),
                    _ => publisher.on_error(now, 0),
                }
            }
            PublishAction::Log(_) => {}
        }
        None
    }
}

fn accepted(revision: u64, current: u64) -> PublishResult {
    PublishResult::Accepted { revision: Revision(revision), current: Revision(current) }
}

#[test]
fn lost_acknowledgement_or_append_still_yields_one_accepted_revision() {
    for append in
        [AppendResult::Acknowledged, AppendResult::EffectiveWithoutAck, AppendResult::Lost]
    {
        let mut world = World::new(&[append, append]);
        let publisher = world.publisher(1, None);
        assert_eq!(world.run(publisher), accepted(1, 1), "{append:?}");
        assert_eq!(world.node().revision(&customer()), Revision(1));
    }
}

#[test]
fn second_of_two_operators_gets_the_revision_in_force() {
    let mut world = World::new(&[]);
    let (mut first, mut second) = (world.publisher(1, None), world.publisher(2, None));
    let mut results = [None, None];
    while results.iter().any(Option::is_none) {
        world.clock += 50;
        results[0] = results[0].take().or_else(|| world.step(&mut first));
        results[1] = results[1].take().or_else(|| world.step(&mut second));
    }
    assert_eq!(results[0], Some(accepted(1, 1)));
    let superseded = PublishResult::Superseded { base: Revision(0), current: Revision(1) };
    assert!(superseded.to_string().contains("revision 1 is in force"));
    assert_eq!(results[1], Some(superseded));
}

#[test]
fn superseded_is_reported_only_once_a_node_confirms_it() {
    let mut world = World::new(&[]);
    world.log.append(publish(7, 0));
    world.node_up = false;
    let publisher = world.publisher(1, Some(0));
    assert_eq!(world.run(publisher), PublishResult::NotSent);
    (world.node_up, world.lag) = (true, 1);
    let behind = world.publisher(1, Some(0));
    assert_eq!(world.run(behind), PublishResult::NotSent);
    world.lag = 0;
    let again = world.publisher(1, Some(0));
    let superseded = PublishResult::Superseded { base: Revision(0), current: Revision(1) };
    assert_eq!(world.run(again), superseded);
}

#[test]
fn publication_whose_id_may_have_been_dropped_is_too_old_not_superseded() {
    let mut world = World::new(&[]);
    let ids = 0..=MAX_PUBLISHED as u64;
    ids.for_each(|base| world.log.append(publish(100 + u128::from(base), base)));
    let publisher = world.publisher(1, Some(0));
    let current = Revision(MAX_PUBLISHED as u64 + 1);
    assert_eq!(world.run(publisher), PublishResult::TooOld { base: Revision(0), current });
}

#[test]
fn rerun_confirms_a_publication_that_no_node_confirmed() {
    let mut world = World::new(&[]);
    world.node_up = false;
    let publisher = world.publisher(1, None);
    assert_eq!(world.run(publisher), PublishResult::NotConfirmed);
    world.node_up = true;
    let again = world.publisher(1, None);
    assert_eq!(world.run(again), accepted(1, 1));
    assert_eq!(world.log.end(), 1);
}

#[test]
fn rerun_after_a_later_revision_reports_both_and_publishes_nothing() {
    let mut world = World::new(&[]);
    for (body, revision) in [(1, 1), (2, 2)] {
        let publisher = world.publisher(body, None);
        assert_eq!(world.run(publisher), accepted(revision, revision));
    }
    let again = world.publisher(1, None);
    assert_eq!(world.run(again), accepted(1, 2));
    let rollback = world.publisher(1, Some(2));
    assert_eq!(world.run(rollback), accepted(3, 3));
}

#[test]
fn nothing_is_sent_while_records_are_missing() {
    let mut world = World::new(&[]);
    world.log.append(publish(7, 0));
    world.log.truncate(1);
    let publisher = world.publisher(1, None);
    assert_eq!(world.run(publisher), PublishResult::NotSent);
    assert_eq!(world.log.end(), 1);
}

#[test]
fn voided_record_is_not_reported_as_accepted_and_its_base_is_kept() {
    let mut world = World::new(&[]);
    world.node_up = false;
    let mut publisher = world.publisher(1, None);
    for _ in 0..10 {
        world.clock += 50;
        assert_eq!(world.step(&mut publisher), None);
    }
    // The publisher reads two records at a time, so it reads the record after the resume record
    // separately.
    let copy = world.log.records()[0].clone();
    world.log.append(copy);
    let resume =
        ContractRecord::Resume { expected: Offset(2), state: Box::new(ContractState::new()) };
    assert_eq!(world.node().apply(Offset(2), &resume), Verdict::Resumed);
    world.log.append(resume);
    world.log.append(publish(2, 0));
    world.node_up = true;
    let result = world.run(publisher);
    let superseded = PublishResult::Superseded { base: Revision(0), current: Revision(1) };
    assert_eq!(result, superseded);
}

#[test]
fn base_later_than_the_revision_in_force_is_reported_and_nothing_is_sent() {
    let mut world = World::new(&[]);
    world.log.append(publish(7, 0));
    let publisher = world.publisher(1, Some(2));
    let unknown = PublishResult::UnknownBase { base: Revision(2), current: Revision(1) };
    assert_eq!(world.run(publisher), unknown);
    assert_eq!(world.log.end(), 1);
}

#[test]
fn record_that_precedes_its_base_is_published_again_once_the_base_is_reached() {
    let mut world = World::new(&[]);
    let plan = world.publisher(1, Some(1));
    let id = publish_id(&customer(), Revision(1), &1_u64.to_le_bytes());
    let early = ContractRecord::Publish { id, base: Revision(1), contract: contract(1) };
    world.log.append(early);
    world.log.append(publish(7, 0));
    assert_eq!(world.run(plan), accepted(2, 2));
}
