//! Structured logging to standard output that is rate-limited and never blocks.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

/// Log lines dropped since the start: above the rate limit, or because the reader of standard
/// output was too slow.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sets up logging for the process.
///
/// # Errors
/// Fails if a logger is already installed in the process.
pub fn init(level: log::LevelFilter, lines_per_s: u64) -> Result<(), log::SetLoggerError> {
    let writer: Box<dyn Write + Send> = Box::new(RateLimitedStdout::new(lines_per_s));
    fern::Dispatch::new()
        .level(level)
        .level_for("actix_http", log::LevelFilter::Warn)
        .level_for("actix_server", log::LevelFilter::Warn)
        .format(|out, message, record| {
            out.finish(format_args!("t={} level={} {message}", unix_ms(), record.level()));
        })
        .chain(writer)
        .apply()
}

/// Returns the Unix time in milliseconds. Only log lines use the time of day.
fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Writer to standard output that drops lines instead of blocking, and limits their rate.
struct RateLimitedStdout {
    lines_per_s: u64,
    /// Lines that may still be written in the current one-second window.
    remaining: u64,
    window_start: Instant,
    /// Line being assembled: the logger writes each line in several calls.
    line: Vec<u8>,
    /// Unwritten end of the last line, after a partial write.
    unwritten: Vec<u8>,
}

impl RateLimitedStdout {
    fn new(lines_per_s: u64) -> Self {
        let stdout = io::stdout();
        if let Ok(flags) = fcntl_getfl(&stdout)
            && let Err(error) = fcntl_setfl(&stdout, flags | OFlags::NONBLOCK)
        {
            eprintln!("log: cannot make standard output non-blocking: {error}");
        }
        Self {
            lines_per_s,
            remaining: lines_per_s,
            window_start: Instant::now(),
            line: Vec::new(),
            unwritten: Vec::new(),
        }
    }

    fn allow_line(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.remaining = self.lines_per_s;
        }
        let allowed = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        allowed
    }

    /// Writes the rest of a partially written line. Returns whether it was written completely.
    fn flush_unwritten(&mut self) -> bool {
        while !self.unwritten.is_empty() {
            match rustix::io::write(rustix::stdio::stdout(), &self.unwritten) {
                Ok(0) | Err(_) => return false,
                Ok(written) => self.unwritten.drain(..written),
            };
        }
        true
    }
}

impl RateLimitedStdout {
    fn write_line(&mut self, line: &[u8]) {
        if !self.allow_line() || !self.flush_unwritten() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return;
        }
        match rustix::io::write(rustix::stdio::stdout(), line) {
            Ok(written) => self.unwritten.extend_from_slice(&line[written..]),
            Err(_) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Write for RateLimitedStdout {
    fn write(&mut self, piece: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(piece);
        if self.line.ends_with(b"\n") {
            let mut line = std::mem::take(&mut self.line);
            self.write_line(&line);
            line.clear();
            self.line = line;
        }
        Ok(piece.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
