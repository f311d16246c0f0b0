//! Decisions about admission, limits, choice of endpoint and retries.
//!
//! Everything here is a plain state machine: events and the time go in,
//! decisions come out. Times are durations since the process's start.

#![forbid(unsafe_code)]

mod answer_time;
mod answered_calls;
mod broken_calls;
mod bucket;
mod choice;
mod endpoint_advice;
mod endpoint_limit;
mod endpoint_rest;
mod group_watch;
mod health;
mod membership;
mod outage;
mod pace;
mod pace_limit;
mod patience;
mod placement;
mod prefix;
mod process_life;
mod quarantine;
mod queue;
mod retry;
mod retry_budget;
mod return_schedule;
mod slot_owners;
mod stall;
mod subset;
mod team_limits;
mod window_budget;

pub use answer_time::AnswerTime;
pub use broken_calls::{BrokenCalls, LifeSign, OBSERVATION_TIME};
pub use bucket::TokenBucket;
pub use choice::{Candidate, Choice, ChoiceOptions, choose};
pub use endpoint_advice::EndpointAdvice;
pub use endpoint_limit::{EndpointLimit, LimitChange, LimitShare, SETTLE_TIME};
pub use endpoint_rest::EndpointRest;
pub use group_watch::{GroupName, GroupWatch, LATE_OPENING, StreamEvent};
pub use health::{CallEnd, Health};
pub use membership::Membership;
pub use outage::{OutageWatch, return_time};
pub use pace::{Pace, PaceClass};
pub use pace_limit::PaceLimit;
pub use patience::{Patience, SILENT_AFTER};
pub use placement::{Placement, Seat, place, resumes_at};
pub use prefix::PrefixCounts;
pub use process_life::{ProcessLife, ProcessVerdict};
pub use quarantine::{Quarantine, Taken};
pub use queue::{Offer, ServiceQueue, Ticket, Waiter};
pub use retry::{AttemptEnd, GiveUp, Next, Retry};
pub use retry_budget::RetryBudget;
pub use return_schedule::ReturnSchedule;
pub use slot_owners::{OwnSlots, SlotOwners};
pub use stall::{GroupProgress, Liveness, Stall};
pub use subset::{rank, rendezvous};
pub use team_limits::{OverLimit, TeamLimits, TeamRate};
pub use window_budget::{WindowBudget, WindowBudgetOptions};
