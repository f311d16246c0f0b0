//! Parsing and validation of fleet files: the fields, then the references between them.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::ServiceId;

use crate::{
    BalanceWeights, Diagnostics, Endpoint, EntryProcess, Fencing, Fleet, Region, Route, Service,
    ServiceKind, Team, TokenDigest,
    jsonc::{Document, Fields},
    members::sort_by_id,
    references::References,
};

const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
const MAX_RATE_PER_S: u64 = 1_000_000;
const LOWEST_PRIORITY: u64 = 9;

const DEFAULT_MAX_BODY_BYTES: u64 = 1024 * 1024;
const DEFAULT_MAX_QUEUE_MS: u64 = 2_000;
const DEFAULT_MAX_ATTEMPTS: u64 = 3;
const DEFAULT_RETRY_BUDGET_PERCENT: u64 = 10;
const DEFAULT_WEIGHT: f64 = 1.0;

const ADDRESS: &str = "an IP address with a port, such as \"10.0.0.7:7101\"";
const TOKEN_DIGEST: &str = "64 hexadecimal digits, the SHA-256 of the team's token";

/// Parses and validates a fleet file.
///
/// Fails with all problems found.
pub fn parse_fleet(file: &str, text: &str) -> Result<Fleet, Diagnostics> {
    Document::read(file, text, read_fleet)
}

fn read_fleet(fields: &Fields<'_, '_>) -> Option<Fleet> {
    let references = References::new(fields.document());
    let scope = fields.id("scope");
    let regions = fields.objects("regions", |f| read_region(f, &references));
    let entries = fields.objects("entries", |f| read_entry(f, &references));
    let services = fields.objects("services", |f| read_service(f, &references));
    let endpoints = fields.objects("endpoints", |f| read_endpoint(f, &references));
    let teams = fields.objects("teams", |f| read_team(f, &references));
    references.check();
    Some(Fleet {
        scope: scope?,
        regions: sort_by_id(regions?),
        entries: sort_by_id(entries?),
        services: sort_by_id(services?),
        endpoints: sort_by_id(endpoints?),
        teams: sort_by_id(teams?),
    })
}

fn read_region(fields: &Fields<'_, '_>, references: &References<'_, '_>) -> Option<Region> {
    let id = fields.id("id");
    references.define_region(&id, fields.position("id"));
    let domains = fields.ids("failure_domains").unwrap_or_default();
    for (domain, position) in &domains {
        references.define_domain(domain, position.clone());
    }
    let failure_domains = domains.into_iter().map(|(id, _)| id).collect();
    Some(Region { id: id?, failure_domains })
}

fn read_entry(fields: &Fields<'_, '_>, references: &References<'_, '_>) -> Option<EntryProcess> {
    let id = fields.id("id");
    references.define_process(&id, fields.position("id"));
    let failure_domain = fields.id("failure_domain");
    references.use_domain(&failure_domain, fields.position("failure_domain"));
    let control_address = read_address(fields, "control_address", references);
    Some(EntryProcess {
        id: id?,
        failure_domain: failure_domain?,
        control_address: control_address?,
    })
}

fn read_service(fields: &Fields<'_, '_>, references: &References<'_, '_>) -> Option<Service> {
    let id = fields.id("id");
    references.define_service(&id, fields.position("id"));
    let kind = fields.parsed("kind", "\"model\" or \"plain\"");
    let timeout = fields.integer("request_timeout_ms", 1..=MAX_TIMEOUT_MS);
    let max_body = fields.integer_or("max_body_bytes", DEFAULT_MAX_BODY_BYTES, 1..=MAX_BODY_BYTES);
    let max_running = fields.integer("max_running_per_endpoint", 1..=100_000);
    let max_queue = fields.integer_or("max_queue_ms", DEFAULT_MAX_QUEUE_MS, 0..=MAX_TIMEOUT_MS);
    let max_attempts = fields.integer_or("max_attempts", DEFAULT_MAX_ATTEMPTS, 1..=10);
    let budget = fields.integer_or("retry_budget_percent", DEFAULT_RETRY_BUDGET_PERCENT, 0..=100);
    let routes = match fields.has("non_idempotent_routes") {
        true => fields.objects("non_idempotent_routes", read_route),
        false => Some(Vec::new()),
    };
    let skew = fields.weight_or("balance_skew_weight", DEFAULT_WEIGHT);
    let cost = fields.weight_or("balance_cost_weight", DEFAULT_WEIGHT);
    Some(Service {
        id: id?,
        kind: kind?,
        request_timeout_ms: Duration::from_millis(timeout?),
        max_body_bytes: max_body?,
        max_running_per_endpoint: max_running? as u32,
        max_queue_ms: Duration::from_millis(max_queue?),
        max_attempts: max_attempts? as u32,
        retry_budget_percent: budget? as u32,
        non_idempotent_routes: routes?,
        balance: BalanceWeights { skew: skew?, cost: cost? },
    })
}

fn read_route(fields: &Fields<'_, '_>) -> Option<Route> {
    let method = fields.parsed::<HttpMethod>("method", "an HTTP method in capitals");
    let path_prefix = fields.parsed::<PathPrefix>("path_prefix", "a path that begins with \"/\"");
    Some(Route { method: method?.0, path_prefix: path_prefix?.0 })
}

fn read_endpoint(fields: &Fields<'_, '_>, references: &References<'_, '_>) -> Option<Endpoint> {
    let id = fields.id("id");
    references.define_process(&id, fields.position("id"));
    let service: Option<ServiceId> = fields.id("service");
    references.use_service(&service, fields.position("service"));
    let failure_domain = fields.id("failure_domain");
    references.use_domain(&failure_domain, fields.position("failure_domain"));
    let data_address = read_address(fields, "data_address", references);
    let control_address = read_address(fields, "control_address", references);
    let fencing = match fields.has("fencing") {
        true => fields.parsed("fencing", "\"checked\" or \"ignored\""),
        false => Some(Fencing::Ignored),
    };
    Some(Endpoint {
        id: id?,
        service: service?,
        failure_domain: failure_domain?,
        data_address: data_address?,
        control_address: control_address?,
        fencing: fencing?,
    })
}

fn read_team(fields: &Fields<'_, '_>, references: &References<'_, '_>) -> Option<Team> {
    let id = fields.id("id");
    references.define_team(&id, fields.position("id"));
    let token_sha256: Option<TokenDigest> = fields.parsed("token_sha256", TOKEN_DIGEST);
    references.define_token(&token_sha256, fields.position("token_sha256"));
    let priority = fields.integer("priority", 0..=LOWEST_PRIORITY);
    let services = fields.ids("services").unwrap_or_default();
    for (service, position) in &services {
        references.use_service(&Some(ServiceId::clone(service)), position.clone());
    }
    let rate = fields.integer("rate_per_s", 1..=MAX_RATE_PER_S);
    let burst = fields.integer("burst_requests", 1..=MAX_RATE_PER_S);
    let max_concurrent = fields.integer("max_concurrent", 1..=MAX_RATE_PER_S);
    Some(Team {
        id: id?,
        token_sha256: token_sha256?,
        priority: priority? as u8,
        services: services.into_iter().map(|(id, _)| id).collect(),
        rate_per_s: rate? as u32,
        burst_requests: burst? as u32,
        max_concurrent: max_concurrent? as u32,
    })
}

fn read_address(
    fields: &Fields<'_, '_>,
    name: &'static str,
    references: &References<'_, '_>,
) -> Option<SocketAddr> {
    let address = fields.parsed(name, ADDRESS);
    references.define_address(&address, fields.position(name));
    address
}

/// An HTTP method such as `POST`.
struct HttpMethod(String);

impl std::str::FromStr for HttpMethod {
    type Err = ();

    fn from_str(text: &str) -> Result<HttpMethod, ()> {
        match !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase()) {
            true => Ok(HttpMethod(text.to_owned())),
            false => Err(()),
        }
    }
}

/// A path that begins with a slash.
struct PathPrefix(String);

impl std::str::FromStr for PathPrefix {
    type Err = ();

    fn from_str(text: &str) -> Result<PathPrefix, ()> {
        match text.starts_with('/') {
            true => Ok(PathPrefix(text.to_owned())),
            false => Err(()),
        }
    }
}

impl std::str::FromStr for ServiceKind {
    type Err = ();

    fn from_str(text: &str) -> Result<ServiceKind, ()> {
        match text {
            "model" => Ok(ServiceKind::Model),
            "plain" => Ok(ServiceKind::Plain),
            _ => Err(()),
        }
    }
}

impl std::str::FromStr for Fencing {
    type Err = ();

    fn from_str(text: &str) -> Result<Fencing, ()> {
        match text {
            "checked" => Ok(Fencing::Checked),
            "ignored" => Ok(Fencing::Ignored),
            _ => Err(()),
        }
    }
}

impl std::str::FromStr for TokenDigest {
    type Err = ();

    fn from_str(text: &str) -> Result<TokenDigest, ()> {
        let mut digest = [0; 32];
        if text.len() != digest.len() * 2 || !text.is_ascii() {
            return Err(());
        }
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).map_err(|_| ())?;
        }
        Ok(TokenDigest(digest))
    }
}
