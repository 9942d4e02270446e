//! Decisions of the overload control layer, without sockets, clocks or threads.
//!
//! Every function that decides takes the present time, and where it needs chance a random
//! number, as an argument. The daemons are thin shells around this crate; others embed it; the
//! model checks and golden sessions replay it. See [the shape](../docs/design/shape.md).

mod admission;
mod binding;
mod budget;
mod choice;
mod contract;
mod fold;
mod ids;
mod membership;
mod outcome;
mod suspects;
mod time;

pub use binding::{
    Admission, AttemptLimits, AttemptLog, Binder, BinderAnswer, BinderLimits, Binding,
    BindingError, Bound, CallRule, Evidence, Fate, Handover, HandoverEntry, Lineage, Resend,
    RunLimits, RunTable, SealedTable, SenderId, Successor, SuccessorFull, Unbound, WindowView,
    binder_of, call_rule, overall_fate, resend_rule, shed_fate,
};
pub use contract::{ClassTerms, Contract, ContractError, Goal};
pub use ids::{
    AttemptId, Importance, Incarnation, InstanceId, Name, Offset, PublishId, RequestId, Revision,
    rendezvous_weight,
};
pub use outcome::{ErrorKind, Outcome, Reply};
pub use time::Moment;
