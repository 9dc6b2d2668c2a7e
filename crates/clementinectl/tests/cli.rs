//! The tool through its real binary against a small fleet.

use std::net::SocketAddr;
use std::process::{Command, Output};

use httpedge::client::Caller;
use measure::calls::await_ready;
use measure::fleet::{Fleet, sample_catalogue};

struct TestEnv {
    entry: SocketAddr,
    operators: SocketAddr,
}

impl TestEnv {
    /// Runs two daemons with their stand-ins in a thread that lives as long as the test.
    fn start() -> Self {
        let fleet = Fleet::with_free_ports(&["bergamo"], 2, 2, 8);
        let (entry, operators) = (fleet.daemons[0].callers, fleet.daemons[0].operators);
        let (ready, wait) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                serve(&fleet).await;
                ready.send(()).unwrap();
                std::future::pending::<()>().await;
            });
        });
        wait.recv().unwrap();
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

    fn expect(&self, args: &[&str], code: i32, words: &[&str]) -> String {
        let output = self.run(args);
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        for word in words {
            assert!(text.contains(word), "{args:?} lacks '{word}': {text}");
        }
        text
    }
}

async fn serve(fleet: &Fleet) {
    measure::roles::serve_standins(fleet).await.unwrap();
    for place in 0..fleet.daemons.len() {
        let config = clementined::config::parse("test", &fleet.settings(place)).unwrap();
        clementined::run::begin(config).await.unwrap();
    }
    let operators: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.operators).collect();
    let caller = Caller::new();
    await_ready(&caller, &operators, 0).await.unwrap();
    measure::calls::edit(&caller, operators[0], "sample", sample_catalogue()).await.unwrap();
    await_ready(&caller, &operators, 1).await.unwrap();
}

fn file(text: &str) -> String {
    let path = std::env::temp_dir().join(format!("ctl-{:016x}.json", rand::random::<u64>()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[test]
fn jobs_are_submitted_followed_and_explained() {
    let env = TestEnv::start();
    let input = r#"{\"work_ms\": 700, \"contract\": \"C003\", \"repair\": \"lnb\"}"#;
    let good = file(&format!(r#"{{"kind": "coverage-check", "tasks": [{{"input": "{input}"}}]}}"#));
    let text = env.expect(&["submit", &good], 0, &["complete (done)", "C003 covered="]);
    let ticket = text.split("ticket ").nth(1).unwrap().split_whitespace().next().unwrap();
    env.expect(&["status", ticket], 0, &["complete"]);
    env.expect(&["explain", ticket], 0, &["ticket of job", "in zone \"bergamo\""]);
    env.expect(&["--json", "status", ticket], 0, &["\"verdict\": \"complete\""]);
    let unknown = file(r#"{"kind": "nothing", "tasks": [{"input": ""}]}"#);
    env.expect(&["submit", &unknown], 11, &["not_run (unknown_kind)", "catalogue list"]);
    let broken = file("{");
    env.expect(&["submit", &broken], 1, &["no job"]);
    env.expect(&["submit", "/no/such/file"], 1, &["/no/such/file"]);
    let failing = r#"{"kind": "coverage-check", "tasks": [{"input": "{\"broken\": true}"}]}"#;
    env.expect(&["submit", &file(failing)], 10, &["failed (task_failed)"]);
    env.expect(&["status", "forged"], 1, &["GET /v1/tickets"]);
    let drawn = env.expect(&["tickets", "--count", "2"], 0, &[]);
    let ticket = drawn.lines().next().unwrap();
    env.expect(&["cancel", ticket], 11, &["not_run (cancelled)"]);
}

#[test]
fn the_catalogue_is_shown_changed_and_followed() {
    let env = TestEnv::start();
    env.expect(&["catalogue", "list"], 0, &["coverage-check", "kind of contracts"]);
    env.expect(&["catalogue", "show", "invoice"], 0, &["\"journal\": true"]);
    env.expect(&["catalogue", "show", "nothing"], 2, &["not in the catalogue"]);
    let edit = file(r#"{"contracts": {"team": {"share": 5}}, "other-check": null}"#);
    let preview = ["~ contracts", "    + share = 5", "- other-check", "add --yes"];
    env.expect(&["catalogue", "edit", &edit], 0, &preview);
    let args = ["catalogue", "edit", &edit, "--by", "anna", "--yes", "--wait"];
    env.expect(&args, 0, &["in force on every reachable daemon"]);
    env.expect(&["catalogue", "edit", &edit], 0, &["no differences"]);
    let history = env.expect(&["catalogue", "history"], 0, &["by anna"]);
    let id = history.split_whitespace().find(|word| word.starts_with("anna-")).unwrap();
    env.expect(&["catalogue", "outcome", id], 0, &["in force as revision"]);
    env.expect(&["catalogue", "status"], 0, &["self", "live", "lag 0"]);
    let wrong = file(r#"{"a": {"team": {"share": 0}}}"#);
    env.expect(&["catalogue", "edit", &wrong, "--yes"], 1, &["share of 'a' is 0", "between 1"]);
    let unknown = file(r#"{"a": {"team": {"colour": 1}}}"#);
    env.expect(&["catalogue", "edit", &unknown, "--yes"], 1, &["unknown field `colour`"]);
    env.expect(&["state"], 0, &["free_slots", "trusted"]);
}

#[test]
fn a_wrong_command_line_and_a_dead_daemon_have_their_own_words() {
    let env = TestEnv { entry: ([127, 0, 0, 1], 1).into(), operators: ([127, 0, 0, 1], 1).into() };
    env.expect(&[], 2, &["name a command"]);
    env.expect(&["catalogue"], 2, &[]);
    env.expect(&["state"], 1, &["no connection to 127.0.0.1:1; check that it runs"]);
}
