//! Validation of fleet and settings files: all problems are reported at once, with positions.

use lynxmount_config::{
    Diagnostic, parse_endpoint_settings, parse_entry_settings, parse_fleet, parse_operator_settings,
};

const FILE: &str = "fleet.jsonc";

/// A small fleet with every kind of field.
fn fleet_text() -> String {
    r#"{
  // A comment.
  "scope": "daugava",
  "regions": [{ "id": "latvia", "failure_domains": ["purvciems"] }],
  "entries": [{ "id": "entry-1", "failure_domain": "purvciems", "control_address": "127.0.0.1:1" }],
  "services": [{ "id": "claims", "kind": "plain", "request_timeout_ms": 5000, "max_running_per_endpoint": 8 }],
  "endpoints": [{ "id": "claims-1", "service": "claims", "failure_domain": "purvciems", "data_address": "127.0.0.1:2", "control_address": "127.0.0.1:3" }],
  "teams": [{ "id": "handlers", "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000", "priority": 0, "services": ["claims"], "rate_per_s": 10, "burst_requests": 20, "max_concurrent": 5 }]
}"#
    .to_owned()
}

fn diagnostics_of(text: &str) -> Vec<Diagnostic> {
    match parse_fleet(FILE, text) {
        Ok(_) => Vec::new(),
        Err(diagnostics) => diagnostics.0,
    }
}

#[test]
fn example_fleets_are_valid() {
    for name in ["daugava", "association"] {
        let path = format!("{}/../../examples/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).expect("the example can be read");

        let fleet = parse_fleet(&path, &text).expect("the example is valid");

        assert_eq!(fleet.scope, name);
        assert_eq!(fleet.endpoints.len(), 19);
        assert_eq!(fleet.teams.len(), 10);
    }
}

#[test]
fn example_settings_are_valid() {
    let read = |name: &str| {
        let path = format!("{}/../../examples/settings/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
        std::fs::read_to_string(path).expect("the example can be read")
    };

    assert!(parse_entry_settings(FILE, &read("entry")).is_ok());
    assert!(parse_endpoint_settings(FILE, &read("endpoint")).is_ok());
    assert!(parse_operator_settings(FILE, &read("operator")).is_ok());
}

#[test]
fn each_problem_is_reported_with_its_field_and_the_expected_value() {
    // Valid text, invalid replacement, reported field, part of the expected value.
    let cases = [
        (
            "\"rate_per_s\": 10",
            "\"rate_per_s\": -1",
            "teams[0].rate_per_s",
            "a whole number from 1",
        ),
        ("\"rate_per_s\": 10", "\"rate_per_s\": \"10\"", "teams[0].rate_per_s", "a whole number"),
        ("\"rate_per_s\": 10", "\"rate_per_min\": 10", "teams[0].rate_per_min", "\"rate_per_s\""),
        (
            "\"request_timeout_ms\": 5000",
            "\"request_timeout_s\": 5",
            "services[0].request_timeout_s",
            "\"request_timeout_ms\"",
        ),
        ("\"priority\": 0", "\"priority\": 10", "teams[0].priority", "from 0 to 9"),
        (
            "\"kind\": \"plain\"",
            "\"kind\": \"plane\"",
            "services[0].kind",
            "\"model\" or \"plain\"",
        ),
        (
            "\"kind\": \"plain\"",
            "\"kind\": \"plain\", \"colour\": 1",
            "services[0].colour",
            "one of: ",
        ),
        (
            "\"service\": \"claims\"",
            "\"service\": \"claim\"",
            "endpoints[0].service",
            "one of: claims",
        ),
        (
            "\"services\": [\"claims\"]",
            "\"services\": [\"claim\"]",
            "teams[0].services[0]",
            "one of: claims",
        ),
        (
            "\"id\": \"entry-1\", \"failure_domain\": \"purvciems\"",
            "\"id\": \"entry-1\", \"failure_domain\": \"riga\"",
            "entries[0].failure_domain",
            "one of: purvciems",
        ),
        ("\"id\": \"entry-1\"", "\"id\": \"claims-1\"", "endpoints[0].id", "each once"),
        ("127.0.0.1:3", "127.0.0.1:2", "endpoints[0].control_address", "each once"),
        ("127.0.0.1:3", "localhost:3", "endpoints[0].control_address", "an IP address with a port"),
        (
            "\"id\": \"handlers\"",
            "\"id\": \"Claims Handlers\"",
            "teams[0].id",
            "lower-case letters",
        ),
        ("\"id\": \"handlers\", ", "", "teams[0].id", "a text"),
        ("00000000\",", "0000000g\",", "teams[0].token_sha256", "64 hexadecimal digits"),
        (
            "\"id\": \"claims\", \"kind\"",
            "\"id\": \"v1\", \"kind\"",
            "services[0].id",
            "another name",
        ),
        (
            "\"scope\": \"daugava\"",
            "\"scope\": \"daugava\", \"scope\": \"x\"",
            "scope",
            "one value",
        ),
        (
            "\"failure_domains\": [\"purvciems\"]",
            "\"failure_domains\": \"purvciems\"",
            "regions[0].failure_domains",
            "a list of ids",
        ),
    ];
    for (valid, invalid, field, expected) in cases {
        let text = fleet_text().replacen(valid, invalid, 1);

        let diagnostics = diagnostics_of(&text);

        let diagnostic = diagnostics.iter().find(|d| d.field == field);
        let diagnostic =
            diagnostic.unwrap_or_else(|| panic!("{invalid}: {field} is not among {diagnostics:?}"));
        assert!(
            diagnostic.expected.contains(expected),
            "{invalid}: expected is \"{}\"",
            diagnostic.expected
        );
        assert_eq!(diagnostic.file, FILE);
    }
}

#[test]
fn the_position_is_that_of_the_invalid_value() {
    let text = "{\n  \"scope\": 7,\n  // čaka iela\n  /* č */ \"regions\": 8\n}";

    let diagnostics = diagnostics_of(text);

    let position = |field: &str| {
        let diagnostic =
            diagnostics.iter().find(|d| d.field == field).expect("the field is reported");
        (diagnostic.line, diagnostic.column)
    };
    assert_eq!(position("scope"), (2, 12));
    assert_eq!(position("regions"), (4, 22));
}

#[test]
fn all_problems_are_reported_in_the_order_of_the_file() {
    let text = fleet_text()
        .replace("\"priority\": 0", "\"priority\": 11")
        .replace("\"kind\": \"plain\"", "\"kind\": 1")
        .replace("\"max_concurrent\": 5", "\"max_concurrent\": 0");

    let diagnostics = diagnostics_of(&text);

    let fields: Vec<&str> = diagnostics.iter().map(|d| d.field.as_str()).collect();
    assert_eq!(fields, ["services[0].kind", "teams[0].priority", "teams[0].max_concurrent"]);
}

#[test]
fn invalid_json_is_reported_with_its_position() {
    let diagnostics = diagnostics_of("{\n  \"scope\": \n}");

    assert_eq!(diagnostics.len(), 1);
    assert_eq!(diagnostics[0].line, 3);
}

#[test]
fn settings_files_are_validated_like_fleet_files() {
    let text = "{ \"author\": \"\", \"scope\": \"daugava\", \"platform_adress\": \"127.0.0.1:1\" }";

    let diagnostics = parse_operator_settings(FILE, text).expect_err("the settings are invalid").0;

    let fields: Vec<&str> = diagnostics.iter().map(|d| d.field.as_str()).collect();
    assert_eq!(fields, ["platform_address", "author", "platform_adress"]);
}
