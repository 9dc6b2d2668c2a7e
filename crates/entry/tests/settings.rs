//! Tests of the settings file.

use entry::settings::{SettingsError, parse};

fn settings(platform: &str) -> String {
    format!(
        "[daemon]\nname = d\nzone = z0\nzones = z0,z1\n[callers]\nlisten = 127.0.0.1:1\n\
         [ready]\nlisten = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:3\n\
         [metrics]\nlisten = 127.0.0.1:4\n[platform]\nstore = 127.0.0.1:5\n{platform}\n"
    )
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
        assert_eq!(parse("f", &settings(text)).map(|settings| settings.evacuate_ms), Ok(expected));
    }
    for value in ["0", "99", "3600001", "-1", "5s", "1e3"] {
        let error = parse("f", &settings(&format!("evacuate_ms = {value}"))).unwrap_err();
        assert!(
            matches!(&error, SettingsError::Value { key: "evacuate_ms", .. }),
            "{value}: {error}"
        );
        assert!(error.to_string().contains("between 100 and 3600000"), "{error}");
    }
}
