//! Logging to standard error through `log` and `fern`, as plain text or JSON lines.

use crate::config::LogFormat;

/// Installs the global logger of the process.
///
/// # Errors
/// Fails if a global logger is already installed.
pub fn init(level: log::LevelFilter, format: LogFormat) -> Result<(), log::SetLoggerError> {
    let dispatch =
        fern::Dispatch::new().level(level).level_for("actix_http", log::LevelFilter::Warn);
    let formatted = match format {
        LogFormat::Text => dispatch.format(|out, message, record| {
            out.finish(format_args!("{} {:5} {message}", unix_ms(), record.level()));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
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

/// Returns the wall-clock time in milliseconds since the Unix epoch. Only log lines and
/// idempotency keys chosen by callers use it.
pub fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
