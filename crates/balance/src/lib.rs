//! Expert-parallel load balancing: policies that place experts on ranks, and traces to
//! evaluate them.
//!
//! All decisions are pure functions of the counts so far. The running system and
//! `lynxmount balance replay` use the same policies.

#![forbid(unsafe_code)]

mod adaptive;
mod demand_windows;
mod expert_map;
mod forecast;
mod generate;
mod group_plan;
mod map_change;
mod pass_time;
mod policy;
mod replan;
mod replay;
mod sample_period;
mod search;
mod skew;
mod trace;

pub use demand_windows::DemandWindows;
pub use expert_map::{Expert, ExpertMap, Shape};
pub use generate::{GeneratedTrace, TraceKind, generate};
pub use group_plan::{GroupPlan, PlanLimits, group_skew, plan_group};
pub use map_change::plan_change;
pub use pass_time::PassTimeTracker;
pub use policy::{BalanceOptions, Planner, PolicyKind};
pub use replay::{MapUpdate, Replay, ReplaySummary};
pub use sample_period::sample_period;
pub use skew::{layer_skew, percentile, rank_loads};
pub use trace::{StepCounts, TraceError, TraceReader};
