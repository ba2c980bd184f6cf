//! Processor time and memory of a process, as the kernel counts them.

/// Kernel clock ticks a second, fixed for user space on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time used so far, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    ticks / TICKS_PER_SECOND
}

/// Processor time of all threads in nanoseconds, by the scheduler's finer count.
pub fn cpu_nanoseconds(pid: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let of_task = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0)
    };
    tasks.flatten().map(of_task).sum()
}

/// Resident memory, in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes << 10
}
