//! Decisions of the overload control layer, without sockets, clocks or threads.
//!
//! Every function that decides takes the present time, and where it needs chance a random
//! number, as an argument. The daemons are thin shells around this crate; others embed it; the
//! model checks and golden sessions replay it. See [the shape](../../docs/design/shape.md).

mod admission;
mod answer;
mod behind;
mod binding;
mod breaker;
mod budget;
mod choice;
mod contract;
mod contract_state;
mod crashes;
mod held;
mod ids;
mod introductions;
mod limit;
mod log_reader;
mod membership;
mod mix;
mod origin;
mod outcome;
mod publish;
mod reach;
mod read_planner;
mod resend;
mod resets;
mod roster;
mod rules;
mod runs;
mod spell;
mod surge;
mod suspects;
mod time;
mod work;

pub use admission::{
    Admission, Arrival, Level, LevelMap, LevelSource, Rank, Refusal, Release, Shedding, Ticket,
    ToldLevel, Verdict as AdmissionVerdict,
};
pub use answer::{AnswerError, AnswerHead, Exchange, Expected, Idle, Waiting, WholeAnswer};
pub use behind::Behind;
pub use binding::{
    AttemptLimits, AttemptLog, Binder, BinderAnswer, BinderLimits, Binding, BindingError, Bound,
    CallRule, Evidence, Fate, Handover, HandoverEntry, Lineage, Resend, RunLimits, RunTable,
    RunVerdict, SealedTable, SenderId, Successor, SuccessorFull, Unbound, WindowView, bound_resend,
    call_rule,
};
pub use breaker::Breaker;
pub use budget::{
    Budget, Call, CallTerms, Grant, Ledger, LedgerError, Loan, Next, OpenRequest, Opening,
    RetriesSpent, Run, come_back_after, keeper, next_step,
};
pub use choice::{Choice, Chooser, Observed, TargetInfo};
pub use contract::{CHAIN_DEPTH, ClassTerms, Contract, ContractError, Goal, HOP_TIME};
pub use contract_state::{
    ContractRecord, ContractState, ContractStateError, InForce, MAX_CUSTOMERS, MAX_PUBLISHED,
    PublishStatus, RecordFault, Verdict,
};
pub use crashes::{CrashMark, CrashNews, CrashPardon, CrashPassage, Crashes, Life};
pub use held::{CallId, Claim, HeldLimits, HeldRuns, LinkId};
pub use ids::{
    AttemptId, Importance, Incarnation, InstanceId, Name, Offset, PublishId, RequestId, Revision,
    rendezvous_owner, rendezvous_weight,
};
pub use introductions::Introductions;
pub use limit::{ClassLimits, ImportanceScale, RunTimes, TargetLimits, retry_after};
pub use log_reader::{
    APPEND_STAGGER, AppliedRecord, BACKOFF_MAX, BACKOFF_MIN, LONG_POLL_TIME, LogBatch, LogEntry,
    LogReader, PULL_INTERVAL, RESUME_DELAY, ReadAction, ReaderError, SNAPSHOT_RECORDS, backoff,
};
pub use membership::{
    Change, Entry, Follower, MemberRecord, MemberState, Membership, Message, Outgoing,
    OutgoingRequest, Peer, ProbeId, Sample, SampleRequest, TICK_TIME, Verdict as MemberVerdict,
    VerdictReport, ViewError,
};
pub use mix::{Mix, MixSum};
pub use origin::{Origins, Sighting, ToldSightings};
pub use outcome::{ErrorKind, Outcome, Reply, SHED_NOT_RUN, TargetEnd};
pub use publish::{
    PublishAction, PublishPlan, PublishResult, Publisher, RESEND_INTERVAL, publish_id,
};
pub use reach::{Barrier, Reach};
pub use read_planner::{
    LOCAL_HEARTBEAT, REMOTE_HEARTBEAT, RENEWAL_INTERVAL, ReadPlan, ReadPlanner, Reads,
    SUBSCRIPTION_TTL,
};
pub use resend::{ResendBound, ResendBudget, ResendCause};
pub use resets::Resets;
pub use roster::{Age, Digest, Ranges, Roster, Stage, TargetRecord};
pub use rules::{CallerLimits, Repeat, RouteIndex, RouteRule, RuleSet, ServiceRule, Share};
pub use runs::{RunningCall, Runs};
pub use spell::Spell;
pub use surge::{Occupancy, Surge, Treatment};
pub use suspects::{Barred, Fingerprint, Permit, Standing, SuspectReport, Suspects, SuspectsError};
pub use time::Moment;
pub use work::WorkSum;
