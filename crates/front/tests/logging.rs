//! Logging: a reader of standard output that stops reading doesn't block the process.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

use base::prelude::*;
use front::logging;

/// More lines than the queue holds.
const LINES: u64 = 20_000;

/// An output that blocks on each write until it is released.
struct Blocked {
    release: mpsc::Receiver<()>,
    written: Arc<Mutex<String>>,
    done: mpsc::Sender<()>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the sender was dropped: writes no longer block.
        let _ = self.release.recv();
        let text = String::from_utf8_lossy(bytes);
        self.written.lock().expect("no panic").push_str(&text);
        if text.contains("the last line") {
            self.done.send(()).expect("the test waits");
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_dropped_and_counted_while_the_output_blocks() {
    let (release, rx) = mpsc::channel();
    let (done, finished) = mpsc::channel();
    let written = Arc::new(Mutex::new(String::new()));
    let out = Blocked { release: rx, written: written.clone(), done };
    logging::init(NodeId::from("n1"), out).expect("set up once");
    for i in 0..LINES {
        log::info!("line {i}");
    }
    let dropped = logging::dropped_lines();
    assert!(dropped > LINES / 2, "{dropped}");
    drop(release);
    // Repeat the line until the queue has room and one is accepted.
    while logging::dropped_lines() > 0 {
        let before = logging::dropped_lines();
        log::info!("the last line");
        if logging::dropped_lines() == before {
            break;
        }
        std::thread::yield_now();
    }
    finished.recv().expect("the last line is written");
    let written = written.lock().expect("no panic");
    assert!(written.contains("\"message\":\"line 0\""));
    assert!(
        written.contains("{\"level\":\"WARN\",\"dropped_lines\":"),
        "the number of dropped lines is logged"
    );
}
