//! Runs the `clementinectl` binary against a small fleet and checks its output and exit statuses.

use std::net::SocketAddr;
use std::process::{Command, Output};

use httpedge::client::HttpClient;
use measure::calls::await_ready;
use measure::fleet::{Fleet, sample_catalogue};

struct TestEnv {
    entry: SocketAddr,
    operators: SocketAddr,
}

impl TestEnv {
    /// Starts two daemons and the simulated platform on a thread that runs until the process ends.
    fn start() -> Self {
        let fleet = Fleet::with_free_ports(&["bergamo"], 2, 2, 8);
        let (entry, operators) = (fleet.daemons[0].callers, fleet.daemons[0].operators);
        let (ready_tx, ready_rx) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                start_fleet(&fleet).await;
                ready_tx.send(()).unwrap();
                std::future::pending::<()>().await;
            });
        });
        ready_rx.recv().unwrap();
        Self { entry, operators }
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_clementinectl"))
            .args(["--entry", &self.entry.to_string()])
            .args(["--operators", &self.operators.to_string()])
            .args(args)
            .output()
            .unwrap()
    }

    fn assert_output(&self, args: &[&str], code: i32, fragments: &[&str]) -> String {
        let output = self.run(args);
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        for fragment in fragments {
            assert!(text.contains(fragment), "{args:?} lacks '{fragment}': {text}");
        }
        text
    }
}

async fn start_fleet(fleet: &Fleet) {
    measure::roles::serve_standins(fleet).await.unwrap();
    for index in 0..fleet.daemons.len() {
        let config = clementined::config::parse("test", &fleet.settings(index)).unwrap();
        clementined::run::start(config).await.unwrap();
    }
    let operators: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.operators).collect();
    let client = HttpClient::new();
    await_ready(&client, &operators, 0).await.unwrap();
    measure::calls::edit(&client, operators[0], "sample", sample_catalogue()).await.unwrap();
    await_ready(&client, &operators, 1).await.unwrap();
}

fn write_temp_file(text: &str) -> String {
    let path = std::env::temp_dir().join(format!("ctl-{:016x}.json", rand::random::<u64>()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[test]
fn job_commands_print_results_and_exit_codes() {
    let env = TestEnv::start();
    let input = r#"{\"work_ms\": 700, \"contract\": \"C003\", \"repair\": \"lnb\"}"#;
    let good = write_temp_file(&format!(
        r#"{{"kind": "coverage-check", "tasks": [{{"input": "{input}"}}]}}"#
    ));
    let text = env.assert_output(&["submit", &good], 0, &["complete (done)", "C003 covered="]);
    let ticket = text.split("ticket ").nth(1).unwrap().split_whitespace().next().unwrap();
    env.assert_output(&["status", ticket], 0, &["complete"]);
    env.assert_output(&["explain", ticket], 0, &["ticket of job", "in zone \"bergamo\""]);
    env.assert_output(&["--json", "status", ticket], 0, &["\"verdict\": \"complete\""]);
    let unknown = write_temp_file(r#"{"kind": "nothing", "tasks": [{"input": ""}]}"#);
    env.assert_output(&["submit", &unknown], 11, &["not_run (unknown_kind)", "catalogue list"]);
    let broken = write_temp_file("{");
    env.assert_output(&["submit", &broken], 1, &["not a valid job"]);
    env.assert_output(&["submit", "/no/such/file"], 1, &["/no/such/file"]);
    let failing = r#"{"kind": "coverage-check", "tasks": [{"input": "{\"broken\": true}"}]}"#;
    env.assert_output(&["submit", &write_temp_file(failing)], 10, &["failed (task_failed)"]);
    env.assert_output(&["status", "forged"], 1, &["GET /v1/tickets"]);
    let issued = env.assert_output(&["tickets", "--count", "2"], 0, &[]);
    let ticket = issued.lines().next().unwrap();
    env.assert_output(&["cancel", ticket], 11, &["not_run (cancelled)"]);
}

#[test]
fn catalogue_commands_show_and_apply_edits() {
    let env = TestEnv::start();
    env.assert_output(&["catalogue", "list"], 0, &["coverage-check", "kind of contracts"]);
    env.assert_output(&["catalogue", "show", "invoice"], 0, &["\"journal\": true"]);
    env.assert_output(&["catalogue", "show", "nothing"], 2, &["not in the catalogue"]);
    let edit = write_temp_file(r#"{"contracts": {"team": {"share": 5}}, "other-check": null}"#);
    let preview = ["~ contracts", "    + share = 5", "- other-check", "add --yes"];
    env.assert_output(&["catalogue", "edit", &edit], 0, &preview);
    let args = ["catalogue", "edit", &edit, "--by", "anna", "--yes", "--wait"];
    env.assert_output(&args, 0, &["in force on every reachable daemon"]);
    env.assert_output(&["catalogue", "edit", &edit], 0, &["no differences"]);
    let history = env.assert_output(&["catalogue", "history"], 0, &["by anna"]);
    let id = history.split_whitespace().find(|word| word.starts_with("anna-")).unwrap();
    env.assert_output(&["catalogue", "outcome", id], 0, &["in force as revision"]);
    env.assert_output(&["catalogue", "status"], 0, &["self", "live", "lag 0"]);
    let wrong = write_temp_file(r#"{"a": {"team": {"share": 0}}}"#);
    env.assert_output(
        &["catalogue", "edit", &wrong, "--yes"],
        1,
        &["share of 'a' is 0", "between 1"],
    );
    let unknown = write_temp_file(r#"{"a": {"team": {"colour": 1}}}"#);
    env.assert_output(&["catalogue", "edit", &unknown, "--yes"], 1, &["unknown field `colour`"]);
    env.assert_output(&["state"], 0, &["free_slots", "trusted"]);
}

#[test]
fn usage_errors_and_unreachable_daemon_have_distinct_messages() {
    let env = TestEnv { entry: ([127, 0, 0, 1], 1).into(), operators: ([127, 0, 0, 1], 1).into() };
    env.assert_output(&[], 2, &["no command given"]);
    env.assert_output(&["catalogue"], 2, &[]);
    env.assert_output(&["state"], 1, &["no connection to 127.0.0.1:1; check that it runs"]);
}
