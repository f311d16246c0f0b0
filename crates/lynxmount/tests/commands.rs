//! Operators' commands: exit codes, output and effects.

mod common;

use std::process::Command;

use common::{Fleet, FleetOptions, eventually};
use lynxmount_standin::Faults;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn small_fleet() -> FleetOptions {
    FleetOptions { entries: 2, engines: 0, plain_services: 1, ..FleetOptions::default() }
}

fn run(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_lynxmount")).args(arguments).output().unwrap()
}

#[test]
fn invalid_arguments_exit_2_and_help_lists_the_exit_codes() {
    assert_eq!(run(&["config", "apply"]).status.code(), Some(2));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
    assert!(text(&run(&["--help"]).stdout).contains("Exit codes:"));
    assert!(text(&run(&["--version"]).stdout).starts_with("lynxmount "));
    assert!(text(&run(&["completions", "bash"]).stdout).contains("complete"));
}

#[test]
fn an_unknown_mechanism_exits_2_and_the_known_ones_are_listed() {
    let output = run(&["platform-entry", "--without", "luck"]);

    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("pace-limit"));
}

#[test]
fn an_invalid_file_exits_2_and_all_its_errors_are_listed() {
    let directory = tempfile::TempDir::new().unwrap();
    let path = directory.path().join("fleet.jsonc");
    std::fs::write(&path, "{ \"scope\": \"Big City\",\n \"teams\": [{}] }").unwrap();
    let path = path.to_str().unwrap();

    let table = run(&["config", "check", path]);
    let json = run(&["config", "check", path, "--output", "json"]);

    assert_eq!(table.status.code(), Some(2));
    assert!(text(&table.stderr).contains(&format!("{path}:1:12: scope: ")));
    assert!(text(&table.stderr).contains(&format!("{path}:2:")));
    let scope = text(&json.stdout)
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap())
        .find(|problem| problem["field"] == "scope")
        .unwrap();
    assert_eq!((&scope["line"], &scope["column"]), (&1.into(), &12.into()));
}

#[test]
fn a_missing_file_exits_1() {
    let output = run(&["config", "check", "no-such-file"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("read no-such-file"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_applied_file_takes_effect_everywhere_and_is_in_the_history() {
    let fleet = Fleet::start(small_fleet()).await;
    fleet.write_file(
        "fleet.jsonc",
        &fleet.fleet_file().replace("\"max_concurrent\": 100", "\"max_concurrent\": 50"),
    );

    let diff = fleet.run_command(&["config", "diff", "fleet.jsonc"]);
    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc"]);
    let status = fleet.run_command(&["status", "--output", "json"]);
    let history = fleet.run_command(&["config", "history"]);
    let shown = fleet.run_command(&["config", "show"]);

    assert!(text(&diff.stdout).contains("teams[guests].max_concurrent"), "{}", text(&diff.stdout));
    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
    assert_eq!(status.status.code(), Some(0));
    assert_eq!(text(&status.stdout).matches("\"config_version\":1").count(), 3);
    assert_eq!(text(&history.stdout).matches("accepted").count(), 2);
    assert!(text(&shown.stdout).contains("\"max_concurrent\": 50"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_file_changes_nothing() {
    let fleet = Fleet::start(small_fleet()).await;
    fleet.write_file(
        "fleet.jsonc",
        &fleet.fleet_file().replace("\"priority\": 5", "\"priority\": 50"),
    );

    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc"]);

    assert_eq!(applied.status.code(), Some(2));
    assert!(text(&applied.stderr).contains("teams[1].priority"));
    assert_eq!(fleet.platform.log.read("config", 0, 10).records.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_audit_log_shows_changes_and_events_of_processes() {
    let fleet = Fleet::start(small_fleet()).await;

    eventually("the audit log is written", async || {
        let audit = fleet.run_command(&["audit", "--event", "config-in-force", "--output", "json"]);
        text(&audit.stdout).lines().count() == 3
    })
    .await;
    let changes = fleet.run_command(&["audit", "--event", "change"]);
    let one =
        fleet.run_command(&["audit", "--process", "entry-1", "--limit", "1", "--output", "json"]);

    assert!(text(&changes.stdout).contains("operator operator"));
    assert!(text(&changes.stdout).contains("result=accepted"));
    assert_eq!(text(&one.stdout).lines().count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_append_response_is_resolved_by_reading_the_log() {
    let fleet = Fleet::start_without_config(small_fleet()).await;
    fleet.platform.log.set_faults(Faults { responses_to_lose: 1, ..Faults::default() });

    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc", "--timeout-ms", "0"]);

    assert!(text(&applied.stderr).contains("accepted"), "{}", text(&applied.stderr));
    assert_eq!(fleet.platform.log.read("config", 0, 10).records.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_fails_during_an_outage_of_the_platform() {
    let fleet = Fleet::start_without_config(small_fleet()).await;
    fleet.platform.log.set_faults(Faults { is_down: true, ..Faults::default() });

    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc"]);

    assert_eq!(applied.status.code(), Some(1));
    let stderr = text(&applied.stderr);
    assert!(stderr.contains("read log") && stderr.contains("503"), "{stderr}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_one_is_applied_and_the_other_refused() {
    let fleet = Fleet::start(small_fleet()).await;
    for (name, limit) in [("anna", 51), ("berta", 52)] {
        fleet.write_file(&format!("{name}.jsonc"), &fleet.operator_settings(name));
        let text = fleet
            .fleet_file()
            .replace("\"max_concurrent\": 100", &format!("\"max_concurrent\": {limit}"));
        fleet.write_file(&format!("fleet-{name}.jsonc"), &text);
    }
    // Both changes are based on version 0, as if the operators had started at the same time.
    let apply = |name: &str| {
        let (settings, file) = (format!("{name}.jsonc"), format!("fleet-{name}.jsonc"));
        fleet.run_command_as(&settings, &["config", "apply", &file, "--base", "0"])
    };

    let (anna, berta) = std::thread::scope(|scope| {
        let (anna, berta) = (scope.spawn(|| apply("anna")), scope.spawn(|| apply("berta")));
        (anna.join().unwrap(), berta.join().unwrap())
    });

    let mut codes = [anna.status.code(), berta.status.code()];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(1)]);
    let (winner, loser) = if anna.status.success() { ("anna", &berta) } else { ("berta", &anna) };
    assert!(text(&loser.stderr).contains(&format!("version 1 of {winner} is in force")));
    assert!(text(&loser.stdout).contains("teams[guests].max_concurrent"));
    assert!(text(&fleet.run_command(&["config", "show"]).stdout).contains("\"max_concurrent\": 5"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_change_id_is_applied_once() {
    let fleet = Fleet::start_without_config(small_fleet()).await;
    let id = "00000000-0000-4000-8000-000000000001";
    let apply = || {
        fleet.run_command(&[
            "config",
            "apply",
            "fleet.jsonc",
            "--change-id",
            id,
            "--timeout-ms",
            "0",
        ])
    };

    let (first, second) = (apply(), apply());

    assert!(text(&first.stderr).contains("version 0: accepted"));
    assert!(text(&second.stderr).contains("version 0: accepted"));
    assert_eq!(fleet.platform.log.read("config", 0, 10).records.len(), 1);
}

const TRACE: &str = r#"{"ranks":2,"experts":4,"layers":1,"slots_per_rank":2}
{"step":0,"layer":0,"tokens":[10,1,10,1]}
{"step":1,"layer":0,"tokens":[10,1,10,1]}
{"step":2,"layer":0,"tokens":[10,1,10,1]}
"#;

#[test]
fn a_replay_prints_measures_and_writes_maps() {
    let directory = tempfile::TempDir::new().unwrap();
    let path = |name: &str| directory.path().join(name).to_str().unwrap().to_owned();
    std::fs::write(path("trace"), TRACE).unwrap();
    std::fs::write(path("settings"), "{ \"window_steps\": 1, \"skew_weight\": 4 } // ours")
        .unwrap();
    let (trace, settings, maps) = (path("trace"), path("settings"), path("maps"));

    let replay = run(&[
        "balance",
        "replay",
        "--trace",
        &trace,
        "--settings",
        &settings,
        "--policy",
        "replan",
        "--maps-out",
        &maps,
        "--output",
        "json",
    ]);

    assert_eq!(replay.status.code(), Some(0), "{}", text(&replay.stderr));
    let summary: serde_json::Value = serde_json::from_str(&text(&replay.stdout)).unwrap();
    assert_eq!((&summary["policy"], &summary["steps"]), (&"replan".into(), &3.into()));
    // The first map places both hot experts on one rank; a new map does not.
    let expected = (20.0 / 11.0 + 1.0 + 1.0) / 3.0;
    assert!((summary["step_skew_mean"].as_f64().unwrap() - expected).abs() < 1e-9);
    let maps = std::fs::read_to_string(maps).unwrap();
    assert!(maps.starts_with(r#"{"step":0,"layer":0,"ranks":[[0,2],[1,3]]}"#), "{maps}");
    assert_eq!(maps.lines().count(), 2);
}

#[test]
fn an_invalid_line_of_a_trace_exits_2_with_its_line_number() {
    let directory = tempfile::TempDir::new().unwrap();
    let trace = directory.path().join("trace");
    std::fs::write(&trace, TRACE.replace("\"step\":1,\"layer\":0", "\"step\":1,\"layer\":1"))
        .unwrap();
    let trace = trace.to_str().unwrap();

    let replay = run(&["balance", "replay", "--trace", trace]);

    assert_eq!(replay.status.code(), Some(2));
    assert!(text(&replay.stderr).contains(&format!("{trace}:3: layer must be below 1")));
}

#[test]
fn a_replay_uses_the_weights_of_a_fleet_file() {
    let directory = tempfile::TempDir::new().unwrap();
    let trace = directory.path().join("trace");
    std::fs::write(&trace, TRACE).unwrap();
    let fleet = format!("{}/../../examples/daugava.jsonc", env!("CARGO_MANIFEST_DIR"));

    let replay =
        run(&["balance", "replay", "--trace", trace.to_str().unwrap(), "--settings", &fleet]);

    assert_eq!(replay.status.code(), Some(0), "{}", text(&replay.stderr));
    assert!(text(&replay.stdout).contains("adaptive"));
}
