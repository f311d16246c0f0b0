//! Policies of the load balancer: admission control, rate and concurrency limits, endpoint
//! selection, failure detection and retries.
//!
//! Everything here is a plain state machine: events and the current time go in, decisions come
//! out. Times are durations since the start of the process.

#![forbid(unsafe_code)]

mod adaptive_concurrency_limit;
mod caller_idle_timeout;
mod circuit_breaker;
mod disconnected_calls;
mod drain_schedule;
mod endpoint_backpressure;
mod endpoint_rate_limit;
mod endpoint_selection;
mod group_monitor;
mod incarnation_tracker;
mod inter_event_latency;
mod listing_order;
mod membership;
mod membership_evidence;
mod outage_detector;
mod outlier_detector;
mod pause_detector;
mod prefix_counts;
mod quarantine;
mod readiness;
mod registered_peers;
mod rendezvous;
mod replacement;
mod resource_budget;
mod resource_connection;
mod resource_limits;
mod restored_registrations;
mod retry;
mod retry_budget;
mod retry_schedule;
mod rtt_estimator;
mod segment_exposure;
mod segment_quarantine;
mod service_queue;
mod share_borrowing;
mod sharing_members;
mod slot_owners;
mod slow_ranks;
mod stall;
mod survived_calls;
mod team_limits;
mod token_bucket;
mod two_choices;
mod window_budget;

pub use adaptive_concurrency_limit::AdaptiveConcurrencyLimit;
pub use caller_idle_timeout::{CallerIdleTimeout, UNRESPONSIVE_AFTER};
pub use circuit_breaker::CircuitBreaker;
pub use disconnected_calls::{CRASH_ATTRIBUTION_WINDOW, DisconnectedCalls, LivenessEvidence};
pub use drain_schedule::DrainSchedule;
pub use endpoint_backpressure::EndpointBackpressure;
pub use endpoint_rate_limit::{
    EndpointRateLimit, LimitChange, LimitShare, MEMBERSHIP_CONVERGENCE_TIME,
};
pub use endpoint_selection::{EndpointSnapshot, Selection, earliest_resume, select_endpoint};
pub use group_monitor::{GroupMonitor, GroupName, REOPEN_GRACE, StreamEvent};
pub use incarnation_tracker::{IncarnationTracker, ProcessVerdict};
pub use inter_event_latency::{InterEventLatency, LatencyClass};
pub use membership::Membership;
pub use membership_evidence::{MembershipEvidence, MembershipTracker};
pub use outage_detector::{OutageDetector, outage_retry_after};
pub use outlier_detector::{CallOutcome, OutlierDetector};
pub use pause_detector::{HEARTBEAT_PERIOD, PauseDetector};
pub use prefix_counts::PrefixCounts;
pub use quarantine::{MergeOutcome, Quarantine};
pub use readiness::{MAX_READINESS_WAIT, is_entry_ready};
pub use registered_peers::{PEER_RENEWAL_PERIOD, RegisteredPeers, shows_first_start};
pub use rendezvous::{rendezvous, rendezvous_weight};
pub use replacement::ReplacementCandidate;
pub use resource_budget::{PeerTimeouts, ResourceBudget, SMALL_BODY_BYTES, Verdict};
pub use resource_connection::{ConnectionId, ConnectionPhase, PeerKind};
pub use resource_limits::ResourceLimits;
pub use retry::{AttemptFailure, RequestFailure, RetryDecision, RetryState};
pub use retry_budget::RetryBudget;
pub use retry_schedule::RetrySchedule;
pub use rtt_estimator::RttEstimator;
pub use segment_quarantine::{SegmentQuarantine, SegmentVerdict};
pub use service_queue::{QueueDecision, ServiceQueue, Ticket, Waiter};
pub use share_borrowing::ShareBorrowing;
pub use sharing_members::SharingMembers;
pub use slot_owners::{OwnSlots, SlotOwners};
pub use slow_ranks::{planned_slowdown, slow_ranks};
pub use stall::{GroupProgress, Liveness, Stall};
pub use team_limits::{LimitExceeded, TeamLimits, TeamQuota};
pub use token_bucket::TokenBucket;
pub use two_choices::{Candidate, Choice, ChoiceOptions, choose};
pub use window_budget::{Predecessor, WindowBudget, WindowBudgetOptions};
