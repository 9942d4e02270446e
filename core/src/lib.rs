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
mod crashes;
mod fold;
mod follow;
mod held;
mod ids;
mod introductions;
mod limit;
mod membership;
mod mix;
mod origin;
mod outcome;
mod publish;
mod reach;
mod readers;
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
pub use answer::{AnswerError, AnswerHead, Exchange, Expected, Idle, VerifiedAnswer, Waiting};
pub use behind::Behind;
pub use binding::{
    AttemptLimits, AttemptLog, Binder, BinderAnswer, BinderLimits, Binding, BindingError,
    BindingMode, BoundCall, Handover, HandoverEntry, HandoverError, NotRunProof, Repeatability,
    Resend, RunLimits, RunStatus, RunTable, RunVerdict, SealedTable, SenderId, Successor,
    UnboundCall, WindowView, binding_mode, bound_resend,
};
pub use breaker::Breaker;
pub use budget::{
    Budget, Call, CallTerms, Grant, Ledger, LedgerError, Loan, Next, OpenRequest, Opening,
    RetriesSpent, Run, come_back_after, keeper, next_step,
};
pub use choice::{Choice, Chooser, Observed, TargetInfo};
pub use contract::{CHAIN_DEPTH, ClassTerms, Contract, ContractError, Goal, HOP_TIME};
pub use crashes::{
    CrashAdmission, CrashHistory, CrashMark, CrashNews, SuccessReport, TargetLifetime,
};
pub use fold::{
    ContractRecord, Fold, FoldError, InForce, MAX_CUSTOMERS, MAX_PUBLISHED, RecordFault, Verdict,
    Word,
};
pub use follow::{
    BACKOFF_MAX, BACKOFF_MIN, Judged, LONG_READ, LogBatch, LogEntry, LogReader, PULL_PAUSE,
    ReadAction, ReaderError, SETTLE, SNAPSHOT_RECORDS, TURN, backoff,
};
pub use held::{CallId, ClaimResult, HeldLimits, HeldRuns, LinkId};
pub use ids::{
    AttemptId, Importance, Incarnation, InstanceId, Name, Offset, PublishId, RequestId, Revision,
    rendezvous_owner, rendezvous_weight,
};
pub use introductions::Introductions;
pub use limit::{ClassLimits, ImportanceScale, RunTimes, TargetLimits, retry_after};
pub use membership::{
    Ask, Change, Entry, Follower, MemberRecord, MemberState, Membership, Message, Outgoing, Peer,
    ProbeId, Sample, SampleRequest, TICK_TIME, Verdict as MemberVerdict, VerdictReport, ViewError,
};
pub use mix::{Mix, MixSum};
pub use origin::{PeerSightings, RouteOrigins, Sighting};
pub use outcome::{ErrorKind, ErrorReply, Outcome, SHED_NOT_RUN, TargetResult};
pub use publish::{PublishAction, PublishPlan, PublishResult, Publisher, RESEND, publish_id};
pub use reach::{Barrier, Reach};
pub use readers::{FAR_BEAT, NEAR_BEAT, RENEWAL, ReadPlan, Readers, Reads, SUBSCRIPTION_TIME};
pub use resend::{ResendBound, ResendBudget, ResendCause};
pub use resets::Resets;
pub use roster::{Age, Digest, Ranges, Roster, Stage, TargetRecord};
pub use rules::{CallerLimits, Repeat, RouteIndex, RouteRule, RuleSet, ServiceRule, Share};
pub use runs::{RunningCall, Runs};
pub use spell::Spell;
pub use surge::{Occupancy, Surge, Treatment};
pub use suspects::{
    Fingerprint, Permit, SuspectRefusal, SuspectReport, SuspectTable, SuspectTableError,
    SuspicionState,
};
pub use time::Moment;
pub use work::WorkSum;
