//! Settings files, fleet files, their validation, and the configuration's state machine.
//!
//! `jsonc` reads fields with their positions, `fleet_file` and `settings_file` validate them, and
//! `change` computes from the log alone which fleet is in force.

#![forbid(unsafe_code)]

mod change;
mod diagnostic;
mod diff;
mod fleet;
mod fleet_file;
mod jsonc;
mod members;
mod references;
mod settings;
mod settings_file;

pub use change::{
    CONFIG_STREAM, ChangeRecord, ChangeRefusal, ConfigRecord, ConfigState, Head, Snapshot, Verdict,
};
pub use diagnostic::{Diagnostic, Diagnostics};
pub use diff::{DiffEntry, DiffKind, diff_fleets};
pub use fleet::{
    BalanceWeights, Endpoint, EntryProcess, Fencing, Fleet, Region, Route, Service, ServiceKind,
    Team, TokenDigest,
};
pub use fleet_file::parse_fleet;
pub use members::{FleetChange, FleetDigest, ListChange};
pub use settings::{EndpointSettings, EntrySettings, OperatorSettings, ProcessSettings};
pub use settings_file::{
    parse_balance_settings, parse_endpoint_settings, parse_entry_settings, parse_operator_settings,
};
