//! Decision logic of the overload control layer, without sockets, clocks or threads.
//!
//! Functions take the current time, and random numbers where they need them, as arguments. The
//! daemons add I/O around this crate, other programs embed it, and the model checks and file tests
//! run it deterministically. See [the shape](../../docs/design/shape.md).

mod admission;
mod answer;
mod balancer;
mod binding;
mod breaker;
mod budget;
mod catch_up;
mod connection_breaker;
mod contract;
mod contract_state;
mod crashes;
mod dependencies;
mod head_end;
mod held;
mod ids;
mod introductions;
mod limit;
mod linger;
mod load_controller;
mod log_reader;
mod membership;
mod memory_budget;
mod mix;
mod origin;
mod outcome;
mod pipeline;
mod publish;
mod quota;
mod rate_limit;
mod read_planner;
mod relayed_reports;
mod resend;
mod roster;
mod rules;
mod runs;
mod shortage;
mod stop;
mod stream_cursor;
mod suspects;
mod time;
mod work;
mod workspace;

pub use admission::{
    Admission, Arrival, Level, LevelMap, LevelSource, Rank, Refusal, RelayedLevel, Release,
    Shedding, Ticket, Verdict as AdmissionVerdict,
};
pub use answer::{AnswerError, AnswerHead, Exchange, Expected, Idle, VerifiedAnswer, Waiting};
pub use balancer::{Balancer, Choice, Observation, TargetInfo};
pub use binding::{
    AttemptLimits, AttemptLog, Binder, BinderAnswer, BinderLimits, Binding, BindingError,
    BindingMode, BoundCall, Handover, HandoverEntry, HandoverError, NotRunProof, Repeatability,
    Resend, RunLimits, RunStatus, RunTable, RunVerdict, SealedTable, SenderId, Successor,
    UnboundCall, WindowView, binding_mode, bound_resend,
};
pub use breaker::RouteBreaker;
pub use budget::{
    Budget, Call, CallTerms, Grant, Ledger, LedgerError, Loan, NextStep, OpenReply, OpenRequest,
    RetriesSpent, RunLease, budget_owner, next_step, spread_retry_after,
};
pub use catch_up::CatchUp;
pub use connection_breaker::ConnectionBreaker;
pub use contract::{ClassTerms, Contract, ContractError, Goal, MAX_CHAIN_DEPTH, MIN_HOP_TIME};
pub use contract_state::{
    ContractRecord, ContractState, ContractStateError, InForce, MAX_CUSTOMERS, MAX_PUBLISHED,
    PublishStatus, RecordFault, Verdict,
};
pub use crashes::{
    CrashAdmission, CrashHistory, CrashMark, CrashNews, SuccessReport, TargetLifetime,
};
pub use dependencies::{PathLevel, RouteDependencies};
pub use head_end::{HeadEnd, HeadSearch};
pub use held::{CallId, ClaimResult, HeldLimits, HeldRuns, LinkId};
pub use ids::{
    AttemptId, Era, Importance, Incarnation, InstanceId, Name, Offset, PublishId, RequestId,
    Revision, rendezvous_owner, rendezvous_weight,
};
pub use introductions::Introductions;
pub use limit::{ClassLimits, ImportanceScale, RunTimes, TargetLimits, retry_after};
pub use linger::{Linger, LingerLimits};
pub use load_controller::{CallResult, LoadController, Occupancy};
pub use log_reader::{
    APPEND_STAGGER, AppliedRecord, BACKOFF_MAX, BACKOFF_MIN, LONG_POLL_TIME, LogBatch, LogEntry,
    LogReader, PULL_INTERVAL, RESUME_DELAY, ReadAction, ReaderError, SNAPSHOT_RECORDS, backoff,
};
pub use membership::{
    Change, Entry, Follower, MemberRecord, MemberState, Membership, Message, Outgoing,
    OutgoingRequest, Peer, ProbeId, Sample, SampleRequest, TICK_TIME, Verdict as MemberVerdict,
    VerdictReport, ViewError,
};
pub use memory_budget::{
    Accepted, ConnectionId, LingerTime, MemoryBudget, MemoryLimits, MemoryUse, Room,
};
pub use mix::{ImportanceMix, ImportanceMixSum};
pub use origin::{PeerSightings, RouteOrigins, Sighting};
pub use outcome::{ErrorKind, ErrorReply, Outcome, SHED_NOT_RUN, TargetResult, is_final_status};
pub use pipeline::{Pipeline, PipelineBudget, PipelineLimits, PipelinedHead, StartDecision};
pub use publish::{
    PublishAction, PublishPlan, PublishResult, Publisher, RESEND_INTERVAL, publish_id,
};
pub use quota::{
    Answerer, EntryQuotas, LEASE_TIME, LEASE_TIMEOUT, LeaseAnswer, LeaseRequest, LeaseToken,
    LimitedWorkspace, PeerFailure, QuotaMembers, QuotaOwner, RELAY_TIMEOUT, Ranking, Reachability,
    Settlement, TOKEN_WAIT, TokenGrant, TokenResult, WorkspaceHash,
};
pub use rate_limit::{Rate, RateError, StatedLimit};
pub use read_planner::{
    LOCAL_HEARTBEAT, REMOTE_HEARTBEAT, RENEWAL_INTERVAL, ReadPlan, ReadPlanner, Reads,
    SUBSCRIPTION_TTL,
};
pub use resend::{ResendBound, ResendBudget, ResendCause};
pub use roster::{Age, Digest, Ranges, Roster, Stage, TargetRecord};
pub use rules::{CallerLimits, Repeat, RouteIndex, RouteRule, RuleSet, ServiceRule, Share};
pub use runs::{RunningRequest, RunningRequests};
pub use shortage::Shortage;
pub use stop::StopPlan;
pub use stream_cursor::{Position, ReadCall, StreamCursor};
pub use suspects::{
    Fingerprint, Permit, SuspectRefusal, SuspectReport, SuspectTable, SuspectTableError,
    SuspicionState,
};
pub use time::Moment;
pub use work::WorkSum;
pub use workspace::{KeyDigest, Workspace, WorkspaceError, WorkspaceIndex, WorkspaceRate};
