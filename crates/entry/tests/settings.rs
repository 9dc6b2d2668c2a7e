//! Tests of the settings file.

use entry::settings::{Capacity, SettingsError, parse};

const REQUIRED: &str = "[daemon]\nname = d\nzone = a\n[callers]\nlisten = 127.0.0.1:1\n[ready]\n\
    listen = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:3\n[metrics]\nlisten = 127.0.0.1:4\n\
    [platform]\nstore = 127.0.0.1:5\n";

/// Guards against a capacity that ignores the link, or that is made up from a part of the settings.
#[test]
fn the_capacity_is_the_share_of_the_cores_limited_by_the_link() {
    let capacity =
        |cpu_millicores, usable_millicores| Some(Capacity { cpu_millicores, usable_millicores });
    let cases = [
        ("", None),
        ("cpu_share =\ncores =\nlink_mbps =", None),
        ("cpu_share = 0.12\nlink_mbps = 25", None),
        ("cores = 2\nlink_mbps = 25", None),
        ("cpu_share = 0.5\ncores = 1", capacity(500, 500)),
        ("cpu_share = 0.5\ncores = 1\nlink_mbps = 200", capacity(500, 500)),
        ("cpu_share = 0.12\ncores = 1\nlink_mbps = 25", capacity(120, 100)),
        ("cpu_share = 0.25\ncores = 4\nlink_mbps = 19", capacity(1_000, 76)),
    ];
    for (text, expected) in cases {
        let settings = parse("f", &format!("{REQUIRED}[capacity]\n{text}\n")).unwrap();
        assert_eq!(settings.capacity, expected, "{text}");
    }
}

/// Guards against a daemon that starts with a capacity which nobody meant.
#[test]
fn an_invalid_capacity_is_an_error_that_names_the_key() {
    for (key, value) in [
        ("cpu_share", "0"),
        ("cpu_share", "-0.1"),
        ("cpu_share", "half"),
        ("cpu_share", "NaN"),
        ("cores", "0"),
        ("cores", "inf"),
        ("link_mbps", "0"),
        ("link_mbps", "25 Mbit/s"),
    ] {
        let text = format!("{REQUIRED}[capacity]\n{key} = {value}\n");
        let error = parse("f", &text).unwrap_err().to_string();
        let expected = format!("f: [capacity] {key} = {value} is invalid; use a number between");
        assert!(error.starts_with(&expected), "{error}");
    }
}

// Guards against a daemon that does not start because the platform fills in nothing, and against a
// bound that is taken although it makes no sense.
#[test]
fn the_bound_of_evacuations_is_optional_and_range_checked() {
    for (text, expected) in [
        ("", 5_000),
        ("evacuate_ms =", 5_000),
        ("evacuate_ms = ", 5_000),
        ("evacuate_ms = 800", 800),
    ] {
        assert_eq!(
            parse("f", &format!("{REQUIRED}{text}\n")).map(|settings| settings.evacuate_ms),
            Ok(expected)
        );
    }
    for value in ["0", "99", "3600001", "-1", "5s", "1e3"] {
        let error = parse("f", &format!("{REQUIRED}evacuate_ms = {value}\n")).unwrap_err();
        assert!(
            matches!(&error, SettingsError::Value { key: "evacuate_ms", .. }),
            "{value}: {error}"
        );
        assert!(error.to_string().contains("between 100 and 3600000"), "{error}");
    }
}
