//! Small helpers: time, records, free ports, child processes.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// The programs that were started.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|time| time.as_millis() as u64)
        .unwrap_or(0)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Opens the record file of the case.
pub fn open_record(path: &str) {
    now_ms();
    let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes one line to the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {line}", now_ms());
    }
}

/// Ends the script, and the programs that it started, because the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    record(&format!("the case could not run: {reason}"));
    eprintln!("the case could not run: {reason}");
    end_programs();
    std::process::exit(2);
}

/// Ends the programs that still run.
pub fn end_programs() {
    if let Ok(started) = STARTED.lock() {
        started.iter().for_each(end);
    }
}

fn end(child: &Arc<Mutex<Child>>) {
    if let Ok(mut child) = child.lock() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns whether the script plays the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map(|value| value != "0").unwrap_or(true)
}

/// Returns a port that is free at these loopback addresses.
pub fn free_port(ips: &[&str]) -> u16 {
    for _ in 0..200 {
        let first = TcpListener::bind((ips[0], 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let port = first.local_addr().unwrap().port();
        if ips[1..].iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
    cannot_run("no free port")
}

/// A temporary folder that is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A program of the project, started with a command of the deploy file.
pub struct Program {
    child: Arc<Mutex<Child>>,
    pub log: PathBuf,
}

impl Program {
    /// Starts `target/release/amaranth-platform ROLE` with these settings.
    pub fn start(dir: &TempDir, role: &str, name: &str, settings: &str) -> Self {
        let path = dir.0.join(format!("{name}.toml"));
        std::fs::write(&path, settings).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let log = dir.0.join(format!("{name}.log"));
        let output = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new("target/release/amaranth-platform")
            .arg(role)
            .env("AMARANTHFIELD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("amaranth-platform: {error}")));
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(Arc::clone(&child));
        record(&format!("started {role} as {name}"));
        Self {
            child,
            log,
        }
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        end(&self.child);
    }

    /// Returns the lines of the program's log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The settings of a process in the form of the deploy page.
pub struct Settings<'a> {
    pub node: &'a str,
    pub class: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub zones: &'a str,
    pub internal_ports: (u16, u16),
    pub listen: String,
    pub app: Option<SocketAddr>,
    pub memory_mb: u32,
    pub store: SocketAddr,
}

impl Settings<'_> {
    pub fn text(&self) -> String {
        let app = self
            .app
            .map(|app| format!("app = \"{app}\"\n"))
            .unwrap_or_default();
        format!(
            "node = \"{}\"\nrole = \"{}\"\nclass = \"{}\"\nip = \"{}\"\nzone = \"{}\"\nregion = \"r1\"\n\
             internal_ports = [{},{}]\nbootstrap = true\nheartbeat_ms = 1200\n{app}\
             [zones]\n{}\n[listen]\n{}\n\
             [limits]\ncpu_share = 0.2\ncores = 1\nmemory_mb = {}\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 4000\nack_ms = 5000\n\
             catch_up_s = 4\ndrain_ms = 2500\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2500\n\
             rollback_slack_ms = 250\nouter_ms = 6000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_slack = 52\nrecover_s = 12\npass_ms = 250\nretry_after_s = 0\nrequire_fence = false\n\
             lease_ms = 3000\nthaw_ms = 300\nceiling_window_s = 5\nceiling_factor = 1.1\nversion_ms = 5000\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\n",
            self.node,
            self.class,
            self.class,
            self.ip,
            self.zone,
            self.internal_ports.0,
            self.internal_ports.1,
            self.zones,
            self.listen,
            self.memory_mb,
            self.store
        )
    }
}

/// Waits until an entry says that it is ready.
pub fn await_ready(readiness: SocketAddr) {
    for _ in 0..100 {
        if crate::http::is_ready(readiness) {
            return;
        }
        sleep_ms(100);
    }
    cannot_run("the entry isn't ready after 10 s")
}

/// A small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn chance(&mut self, share: f64) -> bool {
        ((self.next() >> 11) as f64) < share * (1_u64 << 53) as f64
    }
}
