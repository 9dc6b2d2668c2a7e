//! Logs through `log` and `fern`, as lines for people or as JSON.

use crate::config::LogFormat;

/// Sets logging up for the process.
///
/// # Errors
/// Fails where logging was set up before.
pub fn set_up(level: log::LevelFilter, format: LogFormat) -> Result<(), log::SetLoggerError> {
    let base = fern::Dispatch::new().level(level).level_for("actix_http", log::LevelFilter::Warn);
    let formatted = match format {
        LogFormat::Text => base.format(|out, message, record| {
            out.finish(format_args!("{} {:5} {message}", unix_ms(), record.level()));
        }),
        LogFormat::Json => base.format(|out, message, record| {
            let line = serde_json::json!({
                "at_ms": unix_ms(),
                "level": record.level().as_str(),
                "module": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }),
    };
    formatted.chain(std::io::stderr()).apply()
}

/// Gives the time of day in milliseconds, which only logs and bare keys use.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
