//! Record of what was sent, answered and run, with times in milliseconds since the start.

use std::cell::RefCell;
use std::io::Write as _;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

/// Writes lines to the case's record file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Rc<RefCell<std::io::BufWriter<std::fs::File>>>,
}

impl Record {
    /// Creates the record file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = std::io::BufWriter::new(std::fs::File::create(path)?);
        Ok(Self { started: Instant::now(), file: Rc::new(RefCell::new(file)) })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.borrow_mut(), "{:>7} {text}", self.now_ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn show(&self, text: &str) {
        self.line(text);
        println!("{:>7} {text}", self.now_ms());
    }

    /// Writes buffered lines to the file.
    pub fn flush(&self) {
        let _ = self.file.borrow_mut().flush();
    }
}
