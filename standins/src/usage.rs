//! Resource usage of a running process, from `/proc`.

use std::time::Duration;

/// Clock tick in which `/proc/{pid}/stat` counts CPU time.
const TICK: Duration = Duration::from_millis(10);

/// CPU time and wake-ups of a process since its start, and its present memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// CPU time in user and kernel mode, in ticks of 10 ms.
    pub cpu_time: Duration,
    /// Voluntary context switches of the main thread: the times that it blocked and was woken.
    pub wakeups: u64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl Usage {
    /// Usage of the process `pid`; `None` if there is no such process.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name in parentheses may contain spaces; the fields after it do not.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<u32>().ok()? + fields.get(12)?.parse::<u32>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let number = |name| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse::<u64>().ok()
        };
        Some(Self {
            cpu_time: TICK * ticks,
            wakeups: number("voluntary_ctxt_switches:")?,
            resident_kib: number("VmRSS:")?,
        })
    }
}
