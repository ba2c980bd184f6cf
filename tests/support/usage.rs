//! Processor time and memory of a process, read from `/proc`.

/// Kernel clock ticks per second; Linux reports this fixed rate to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// User and system processor time so far, in seconds, with the resolution of a clock tick.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    ticks / TICKS_PER_SECOND
}

/// Processor time of all live threads, in nanoseconds, from the scheduler's finer statistics.
pub fn cpu_nanoseconds(pid: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let task_nanoseconds = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0)
    };
    tasks.flatten().map(task_nanoseconds).sum()
}

/// Resident memory, in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    status_kilobytes(pid, "VmRSS:") << 10
}

/// Largest resident memory so far, in bytes.
pub fn peak_bytes(pid: u32) -> u64 {
    status_kilobytes(pid, "VmHWM:") << 10
}

fn status_kilobytes(pid: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|it| it.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
