//! What a case records: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    /// Returns the seconds since the case began.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{:9.3} s  {text}", self.seconds()).expect("the record is written");
    }
}
