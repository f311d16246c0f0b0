//! Operators' commands: exit codes, output, and what they change.

mod common;

use std::process::Command;

use common::{Fleet, Wanted, eventually};
use lynxmount_standin::Faults;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn small() -> Wanted {
    Wanted { entries: 2, engines: 0, plains: 1, ..Wanted::default() }
}

fn run(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_lynxmount")).args(arguments).output().unwrap()
}

#[test]
fn wrong_arguments_exit_2_and_help_names_the_exit_codes() {
    assert_eq!(run(&["config", "apply"]).status.code(), Some(2));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
    assert!(text(&run(&["--help"]).stdout).contains("Exit codes:"));
    assert!(text(&run(&["--version"]).stdout).starts_with("lynxmount "));
    assert!(text(&run(&["completions", "bash"]).stdout).contains("complete"));
}

#[test]
fn an_invalid_file_exits_2_and_tells_all_that_is_wrong() {
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
        .find(|complaint| complaint["field"] == "scope")
        .unwrap();
    assert_eq!((&scope["line"], &scope["column"]), (&1.into(), &12.into()));
}

#[test]
fn a_file_that_is_not_there_exits_1() {
    let output = run(&["config", "check", "no-such-file"]);

    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("read no-such-file"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_applied_file_is_in_force_everywhere_and_recorded() {
    let fleet = Fleet::start(small()).await;
    fleet.write(
        "fleet.jsonc",
        &fleet.file().replace("\"max_concurrent\": 100", "\"max_concurrent\": 50"),
    );

    let diff = fleet.operate(&["config", "diff", "fleet.jsonc"]);
    let applied = fleet.operate(&["config", "apply", "fleet.jsonc"]);
    let status = fleet.operate(&["status", "--output", "json"]);
    let history = fleet.operate(&["config", "history"]);
    let shown = fleet.operate(&["config", "show"]);

    assert!(text(&diff.stdout).contains("teams[guests].max_concurrent"), "{}", text(&diff.stdout));
    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied.stderr));
    assert_eq!(status.status.code(), Some(0));
    assert_eq!(text(&status.stdout).matches("\"config_version\":1").count(), 3);
    assert_eq!(text(&history.stdout).matches("accepted").count(), 2);
    assert!(text(&shown.stdout).contains("\"max_concurrent\": 50"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_file_changes_nothing() {
    let fleet = Fleet::start(small()).await;
    fleet.write("fleet.jsonc", &fleet.file().replace("\"priority\": 5", "\"priority\": 50"));

    let applied = fleet.operate(&["config", "apply", "fleet.jsonc"]);

    assert_eq!(applied.status.code(), Some(2));
    assert!(text(&applied.stderr).contains("teams[1].priority"));
    assert_eq!(fleet.platform.log.read("config", 0, 10).records.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_audit_trail_shows_changes_and_what_processes_did() {
    let fleet = Fleet::start(small()).await;

    eventually("the trail is written", async || {
        let audit = fleet.operate(&["audit", "--event", "config-in-force", "--output", "json"]);
        text(&audit.stdout).lines().count() == 3
    })
    .await;
    let changes = fleet.operate(&["audit", "--event", "change"]);
    let one = fleet.operate(&["audit", "--process", "entry-1", "--limit", "1", "--output", "json"]);

    assert!(text(&changes.stdout).contains("operator operator"));
    assert!(text(&changes.stdout).contains("result=accepted"));
    assert_eq!(text(&one.stdout).lines().count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_append_answer_is_resolved_by_reading() {
    let fleet = Fleet::start_without_config(small()).await;
    fleet.platform.log.set_faults(Faults { lose_answers: 1, ..Faults::default() });

    let applied = fleet.operate(&["config", "apply", "fleet.jsonc", "--timeout-ms", "0"]);

    assert!(text(&applied.stderr).contains("accepted"), "{}", text(&applied.stderr));
    assert_eq!(fleet.platform.log.read("config", 0, 10).records.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_is_told_and_nothing_is_changed() {
    let fleet = Fleet::start_without_config(small()).await;
    fleet.platform.log.set_faults(Faults { down: true, ..Faults::default() });

    let applied = fleet.operate(&["config", "apply", "fleet.jsonc"]);

    assert_eq!(applied.status.code(), Some(1));
    let told = text(&applied.stderr);
    assert!(told.contains("read log") && told.contains("503"), "{told}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_once_one_wins_and_the_other_is_told() {
    let fleet = Fleet::start(small()).await;
    for (name, limit) in [("anna", 51), ("berta", 52)] {
        fleet.write(&format!("{name}.jsonc"), &fleet.operator_settings(name));
        let text = fleet
            .file()
            .replace("\"max_concurrent\": 100", &format!("\"max_concurrent\": {limit}"));
        fleet.write(&format!("fleet-{name}.jsonc"), &text);
    }
    // Both have seen version 0, as when they start at the same moment.
    let apply = |name: &str| {
        let (settings, file) = (format!("{name}.jsonc"), format!("fleet-{name}.jsonc"));
        fleet.operate_as(&settings, &["config", "apply", &file, "--base", "0"])
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
    assert!(text(&fleet.operate(&["config", "show"]).stdout).contains("\"max_concurrent\": 5"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_change_id_is_not_applied_twice() {
    let fleet = Fleet::start_without_config(small()).await;
    let id = "00000000-0000-4000-8000-000000000001";
    let apply = || {
        fleet.operate(&["config", "apply", "fleet.jsonc", "--change-id", id, "--timeout-ms", "0"])
    };

    let (first, second) = (apply(), apply());

    assert!(text(&first.stderr).contains("version 0: accepted"));
    assert!(text(&second.stderr).contains("version 0: accepted"));
    assert_eq!(fleet.platform.log.read("config", 0, 10).records.len(), 1);
}
