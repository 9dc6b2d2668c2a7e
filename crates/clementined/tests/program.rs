//! The `clementined` binary: validation of settings, exit codes and error messages.

use std::process::{Command, Output};

use measure::fleet::Fleet;

/// Runs the binary with these settings until it exits.
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
fn check_accepts_valid_settings() {
    let output = run_with(&settings(), &["--check"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("the settings are valid"));
}

#[test]
fn invalid_settings_exit_with_78_and_one_line_with_the_remedy() {
    let cases = [
        ("zone = bergamo", "zone =", "[daemon] zone"),
        ("choice = shares", "choice = best", "use shares, random"),
        ("[keys]", "[keys]\ncolour = red", "unknown key [keys] colour;"),
        ("[keys]", "[tickets]\nvalid_ms = 10s\n[keys]", "milliseconds"),
    ];
    for (from, to, expected) in cases {
        let output = run_with(&settings().replacen(from, to, 1), &[]);
        assert_eq!(output.status.code(), Some(78), "{to}");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.starts_with("clementined: ") && error.contains(expected), "{error}");
    }
}

#[test]
fn an_address_in_use_exits_with_69() {
    let fleet = Fleet::with_free_ports(&["bergamo"], 1, 1, 8);
    let listener = std::net::TcpListener::bind(fleet.daemons[0].callers).unwrap();
    let output = run_with(&fleet.settings(0), &[]);
    assert_eq!(output.status.code(), Some(69));
    assert!(String::from_utf8_lossy(&output.stderr).contains("free the address"));
    drop(listener);
}
