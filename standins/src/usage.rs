//! What the system says of a running process.

use std::time::Duration;

/// Length of one tick of the system's count of processor time.
const TICK: Duration = Duration::from_millis(10);

/// Processor time and memory of one process since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, to the tick of 10 ms.
    pub cpu_time: Duration,
    /// Times that its main thread waited and was woken.
    pub wakeups: u64,
    /// Memory that it holds, in KiB.
    pub resident_kib: u64,
}

impl Usage {
    /// Usage of the process `pid`; none if there is no such process.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in brackets may hold spaces; the fields behind it do not.
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
