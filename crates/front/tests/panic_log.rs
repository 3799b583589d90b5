//! A panic is a line of the log, and the last lines are written before the process ends.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base::prelude::*;
use front::logging;

/// How long the output takes for a write.
const WRITE_TIME: Duration = Duration::from_millis(50);

/// An output that takes a while.
struct Slow(Arc<Mutex<String>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(WRITE_TIME);
        self.0.lock().expect("no panic").push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

// Guards against a process that ends without a line that says why.
#[test]
fn a_panic_and_the_last_lines_are_written_before_the_guard_is_gone() {
    let written = Arc::new(Mutex::new(String::new()));
    let guard = logging::init(NodeId::from("n1"), Slow(written.clone())).expect("set up once");
    log::info!("before");
    let thread = std::thread::Builder::new().name("worker".to_owned());
    let thread = thread.spawn(|| panic!("the index is {}\nlong", 7)).expect("a thread");
    assert!(thread.join().is_err());
    log::info!("the last line");
    drop(guard);
    let written = written.lock().expect("no panic").clone();
    assert!(written.ends_with("\"message\":\"the last line\"}\n"), "{written}");
    let lines: Vec<&str> = written.lines().filter(|line| line.contains("\"panic\"")).collect();
    let [line] = lines[..] else { panic!("{written}") };
    let line: serde_json::Value = serde_json::from_str(line).expect("JSON");
    assert_eq!(line["level"], "ERROR");
    assert_eq!(line["decision"]["thread"], "worker");
    assert_eq!(line["decision"]["message"], "the index is 7\nlong");
    let place = line["decision"]["place"].as_str().expect("a place");
    assert!(place.contains("panic_log.rs:"), "{place}");
}
