//! CPU time and memory of processes and threads, read from `/proc` on Linux.

use std::path::Path;
use std::time::Duration;

/// Clock ticks per second in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// CPU time, user and system.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// Returns the resources that process `id` has used so far; `None` if it has ended.
pub fn of_process(id: u32) -> Option<Usage> {
    let folder = format!("/proc/{id}");
    let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    let cpu = cpu_time(Path::new(&folder))?;
    Some(Usage { cpu, resident_bytes: kib << 10 })
}

/// Returns the CPU time of all threads of this process that are named `name`.
pub fn of_threads(name: &str) -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let tasks = tasks.flatten().map(|task| task.path());
    let named = tasks.filter(|task| {
        std::fs::read_to_string(task.join("comm")).is_ok_and(|comm| comm.trim() == name)
    });
    named.filter_map(|task| cpu_time(&task)).sum()
}

fn cpu_time(folder: &Path) -> Option<Duration> {
    let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
    // The second field, the name, may contain spaces; it ends with the last parenthesis. The
    // times are fields 14 (user) and 15 (system) of the line: indices 11 and 12
    // after the name, counted from 0.
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}
