//! The daemon's program: settings, exit statuses and errors.

use std::process::{Command, Output};

use measure::fleet::Fleet;

/// Runs the daemon's binary with these settings until it ends.
fn run_with(settings: &str, args: &[&str]) -> Output {
    let path = std::env::temp_dir().join(format!("clementined-{:016x}.ini", rand::random::<u64>()));
    std::fs::write(&path, settings).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_clementined"))
        .arg("--settings")
        .arg(&path)
        .args(args)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    output
}

fn settings() -> String {
    Fleet::with_free_ports(&["bergamo"], 1, 1, 8).settings(0)
}

#[test]
fn good_settings_pass_the_check() {
    let output = run_with(&settings(), &["--check"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("the settings are good"));
}

#[test]
fn wrong_settings_are_one_line_with_the_remedy_and_their_own_status() {
    let cases = [
        ("zone = bergamo", "zone =", "[daemon] zone"),
        ("choice = shares", "choice = best", "write shares, random"),
        ("[keys]", "[keys]\ncolour = red", "[keys] colour is not known"),
        ("[keys]", "[tickets]\nvalid_ms = 10s\n[keys]", "milliseconds"),
    ];
    for (from, to, words) in cases {
        let output = run_with(&settings().replacen(from, to, 1), &[]);
        assert_eq!(output.status.code(), Some(78), "{to}");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("clementined: ") && error.contains(words), "{error}");
    }
}

#[test]
fn a_taken_address_has_its_own_status() {
    let fleet = Fleet::with_free_ports(&["bergamo"], 1, 1, 8);
    let taken = std::net::TcpListener::bind(fleet.daemons[0].callers).unwrap();
    let output = run_with(&fleet.settings(0), &[]);
    assert_eq!(output.status.code(), Some(69));
    assert!(String::from_utf8_lossy(&output.stderr).contains("free the address"));
    drop(taken);
}
