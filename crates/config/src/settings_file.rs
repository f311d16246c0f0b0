//! Parsing and validation of the settings files of processes and operators.

use std::{net::SocketAddr, time::Duration};

use lynxmount_balance::BalanceOptions;

use crate::{
    Diagnostics, EndpointSettings, EntrySettings, OperatorSettings, ProcessSettings,
    jsonc::{Document, Fields},
};

const ADDRESS: &str = "an IP address with a port, such as \"10.0.0.7:7001\"";
const MAX_TIMEOUT_MS: u64 = 3_600_000;

const MAX_EXPERT_BYTES: u64 = 1 << 50;

const BYTES_PER_MB: usize = 1_000_000;

const DEFAULT_MEMORY_MB: u64 = 256;
const DEFAULT_TRAFFIC_THREADS: u64 = 2;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 300_000;
const DEFAULT_LOG_RETENTION_MS: u64 = 7 * 24 * 3_600_000;
const MAX_LOG_RETENTION_MS: u64 = 366 * 24 * 3_600_000;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 10_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_KEYS: u64 = 100_000;
const DEFAULT_MAX_KEPT_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Parses and validates the settings of an entry process.
///
/// Fails with all problems found.
pub fn parse_entry_settings(file: &str, text: &str) -> Result<EntrySettings, Diagnostics> {
    Document::read(file, text, read_entry)
}

/// Parses and validates the settings of an endpoint process.
///
/// Fails with all problems found.
pub fn parse_endpoint_settings(file: &str, text: &str) -> Result<EndpointSettings, Diagnostics> {
    Document::read(file, text, read_endpoint)
}

/// Parses and validates the settings of operators' commands.
///
/// Fails with all problems found.
pub fn parse_operator_settings(file: &str, text: &str) -> Result<OperatorSettings, Diagnostics> {
    Document::read(file, text, read_operator)
}

/// Parses and validates the settings of the expert balancer; all fields have defaults.
///
/// Fails with all problems found.
pub fn parse_balance_settings(file: &str, text: &str) -> Result<BalanceOptions, Diagnostics> {
    Document::read(file, text, read_balance)
}

fn read_balance(fields: &Fields<'_, '_>) -> Option<BalanceOptions> {
    let default = BalanceOptions::default();
    let skew_weight = fields.weight_or("skew_weight", default.skew_weight);
    let cost_weight = fields.weight_or("cost_weight", default.cost_weight);
    let window_steps = fields.integer_or("window_steps", default.window_steps, 1..=1_000_000);
    let expert_bytes =
        fields.integer_or("expert_bytes", default.expert_bytes, 1..=MAX_EXPERT_BYTES);
    let staging = fields.integer_or(
        "staging_bytes_per_step",
        default.staging_bytes_per_step,
        0..=MAX_EXPERT_BYTES,
    );
    let steps_lost = fields.weight_or("steps_lost_per_switch", default.steps_lost_per_switch);
    let steps_per_fetch = fields.weight_or("steps_per_fetch", default.steps_per_fetch);
    Some(BalanceOptions {
        skew_weight: skew_weight?,
        cost_weight: cost_weight?,
        window_steps: window_steps?,
        expert_bytes: expert_bytes?,
        staging_bytes_per_step: staging?,
        steps_lost_per_switch: steps_lost?,
        steps_per_fetch: steps_per_fetch?,
    })
}

fn read_entry(fields: &Fields<'_, '_>) -> Option<EntrySettings> {
    let process = read_process(fields);
    let callers_address = fields.parsed("callers_address", ADDRESS);
    let header_timeout = read_timeout(fields, "header_timeout_ms", DEFAULT_HEADER_TIMEOUT_MS);
    let idle_timeout = read_timeout(fields, "idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS);
    let max_header_bytes =
        fields.integer_or("max_header_bytes", DEFAULT_MAX_HEADER_BYTES, 8_192..=1_048_576);
    Some(EntrySettings {
        process: process?,
        callers_address: callers_address?,
        header_timeout_ms: header_timeout?,
        idle_timeout_ms: idle_timeout?,
        max_header_bytes: max_header_bytes? as usize,
    })
}

fn read_endpoint(fields: &Fields<'_, '_>) -> Option<EndpointSettings> {
    let process = read_process(fields);
    let service = fields.id("service");
    let data_address = fields.parsed("data_address", ADDRESS);
    let backend_address = fields.parsed("backend_address", ADDRESS);
    let max_keys = fields.integer_or("max_keys", DEFAULT_MAX_KEYS, 1..=10_000_000);
    let max_kept = fields.integer_or(
        "max_kept_answer_bytes",
        DEFAULT_MAX_KEPT_ANSWER_BYTES,
        0..=1024 * 1024 * 1024,
    );
    Some(EndpointSettings {
        process: process?,
        service: service?,
        data_address: data_address?,
        backend_address: backend_address?,
        max_keys: max_keys? as usize,
        max_kept_answer_bytes: max_kept? as usize,
    })
}

fn read_operator(fields: &Fields<'_, '_>) -> Option<OperatorSettings> {
    let author = fields.text("author");
    let scope = fields.id("scope");
    let platform_address = fields.parsed("platform_address", ADDRESS);
    Some(OperatorSettings { author: author?, scope: scope?, platform_address: platform_address? })
}

fn read_process(fields: &Fields<'_, '_>) -> Option<ProcessSettings> {
    let process_id = fields.id("process_id");
    let failure_domain = fields.id("failure_domain");
    let scope = fields.id("scope");
    let platform_address = fields.parsed("platform_address", ADDRESS);
    let control_address = fields.parsed("control_address", ADDRESS);
    let operators_address = fields.parsed("operators_address", ADDRESS);
    let peers = match fields.has("peers") {
        true => fields.parsed_list("peers", ADDRESS),
        false => Some(Vec::new()),
    };
    let statsd_address: Option<Option<SocketAddr>> = match fields.has("statsd_address") {
        true => fields.parsed("statsd_address", ADDRESS).map(Some),
        false => Some(None),
    };
    let traffic_threads = fields.integer_or("traffic_threads", DEFAULT_TRAFFIC_THREADS, 1..=256);
    let log_retention = fields.integer_or(
        "log_retention_ms",
        DEFAULT_LOG_RETENTION_MS,
        1_000..=MAX_LOG_RETENTION_MS,
    );
    let drain_timeout = read_timeout(fields, "drain_timeout_ms", DEFAULT_DRAIN_TIMEOUT_MS);
    let memory_mb = fields.integer_or("memory_mb", DEFAULT_MEMORY_MB, 64..=1_048_576);
    Some(ProcessSettings {
        process_id: process_id?,
        failure_domain: failure_domain?,
        scope: scope?,
        platform_address: platform_address?,
        control_address: control_address?,
        operators_address: operators_address?,
        peers: peers?,
        statsd_address: statsd_address?,
        traffic_threads: traffic_threads? as usize,
        log_retention_ms: Duration::from_millis(log_retention?),
        drain_timeout_ms: drain_timeout?,
        memory_bytes: memory_mb? as usize * BYTES_PER_MB,
    })
}

fn read_timeout(fields: &Fields<'_, '_>, name: &'static str, default_ms: u64) -> Option<Duration> {
    fields.integer_or(name, default_ms, 1..=MAX_TIMEOUT_MS).map(Duration::from_millis)
}
