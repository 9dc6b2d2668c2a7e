//! The record of a case: one line for each thing that was sent, answered or run.

use std::cell::RefCell;
use std::fmt::Display;
use std::fs::File;
use std::io::Write as _;
use std::rc::Rc;
use std::time::Instant;

/// Writes lines with the seconds since the start of the case.
#[derive(Clone, Debug)]
pub struct Record {
    file: Rc<RefCell<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Rc::new(RefCell::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Seconds since the start of the case.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl Display) {
        let _ = writeln!(self.file.borrow_mut(), "{:9.3} {text}", self.now_s());
    }
}
