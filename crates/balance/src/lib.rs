//! Which rank holds which experts: policies, traces and their measures.
//!
//! Everything here is a pure function of counts seen so far. The running system
//! and `lynxmount balance replay` use the same policies.

#![forbid(unsafe_code)]

mod adaptive;
mod demand_windows;
mod expert_map;
mod forecast;
mod generate;
mod group_change;
mod group_plan;
mod measure;
mod pass_time;
mod policy;
mod replan;
mod replay;
mod sample_pace;
mod search;
mod trace;

pub use demand_windows::DemandWindows;
pub use expert_map::{Expert, ExpertMap, Shape};
pub use generate::{GeneratedTrace, TraceKind, generate};
pub use group_change::plan_change;
pub use group_plan::{GroupPlan, PlanLimits, group_skew, plan_group};
pub use measure::{layer_skew, percentile, rank_loads};
pub use pass_time::PassTime;
pub use policy::{BalanceOptions, Planner, PolicyKind};
pub use replay::{MapInForce, Replay, ReplaySummary};
pub use sample_pace::sample_period;
pub use trace::{StepCounts, TraceError, TraceReader};
