//! Structured logs to standard output, bounded in volume and never blocking.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

/// Lines dropped since the start: over the bound, or because the reader was too slow.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Gives the number of lines that were dropped.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sets logging up for the process.
///
/// # Errors
/// Fails where logging was set up before.
pub fn set_up(level: log::LevelFilter, lines_per_s: u64) -> Result<(), log::SetLoggerError> {
    let writer: Box<dyn Write + Send> = Box::new(Bounded::new(lines_per_s));
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

/// Gives the time of day in milliseconds, which only logs use.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Standard output that drops lines rather than wait.
struct Bounded {
    lines_per_s: u64,
    left: u64,
    since: Instant,
    /// The line that is being put together: the logger writes it in pieces.
    line: Vec<u8>,
    rest: Vec<u8>,
}

impl Bounded {
    fn new(lines_per_s: u64) -> Self {
        let stdout = io::stdout();
        if let Ok(flags) = fcntl_getfl(&stdout)
            && let Err(error) = fcntl_setfl(&stdout, flags | OFlags::NONBLOCK)
        {
            eprintln!("log: standard output stays blocking: {error}");
        }
        Self {
            lines_per_s,
            left: lines_per_s,
            since: Instant::now(),
            line: Vec::new(),
            rest: Vec::new(),
        }
    }

    fn admits(&mut self) -> bool {
        if self.since.elapsed() >= Duration::from_secs(1) {
            self.since = Instant::now();
            self.left = self.lines_per_s;
        }
        let admitted = self.left > 0;
        self.left = self.left.saturating_sub(1);
        admitted
    }

    /// Writes what is left over of a line that was written in part. Tells whether all went out.
    fn drain_rest(&mut self) -> bool {
        while !self.rest.is_empty() {
            match rustix::io::write(rustix::stdio::stdout(), &self.rest) {
                Ok(0) | Err(_) => return false,
                Ok(written) => self.rest.drain(..written),
            };
        }
        true
    }
}

impl Bounded {
    fn write_line(&mut self, line: &[u8]) {
        if !self.admits() || !self.drain_rest() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return;
        }
        match rustix::io::write(rustix::stdio::stdout(), line) {
            Ok(written) => self.rest.extend_from_slice(&line[written..]),
            Err(_) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Write for Bounded {
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
