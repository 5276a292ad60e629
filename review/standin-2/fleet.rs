//! Settings of the project's programs, and their processes.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Channel;

/// A temporary folder, removed at the end, and the addresses of one run.
pub struct Place {
    pub folder: PathBuf,
    net: String,
}

impl Place {
    pub fn new() -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("amaranth-review-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        Self {
            folder,
            net: format!("127.{}.{}", 20 + pid % 200, (pid / 200) % 250),
        }
    }

    /// The loopback address of one machine of the run.
    pub fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.net)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a port that is free at an address.
pub fn free_port(ip: &str) -> u16 {
    let listener =
        TcpListener::bind((ip, 0)).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    listener.local_addr().unwrap().port()
}

/// The processes that run, to be killed where the case can't go on.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(id.to_string())
            .status();
    }
}

/// A process of the project, killed when it is dropped.
pub struct Process {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

impl Process {
    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
    }

    pub fn has_ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if is_ready(self.ready) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run("the entry isn't ready within 10 s");
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = std::net::TcpStream::connect(address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut channel = Channel::new(stream);
    let request = format!("GET /api/ready HTTP/1.1\r\nHost: {address}\r\n\r\n");
    if channel.write(request.as_bytes()).is_err() {
        return false;
    }
    matches!(channel.read_head(), Ok(Some(head)) if head.status() == 200)
}

/// Returns the command of a role of the deploy file.
fn command(role: &str) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml")
        .unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or("");
    let line = section.lines().find(|line| line.starts_with("run = "));
    let run = line
        .and_then(|line| line.split('"').nth(1))
        .unwrap_or_else(|| crate::cannot_run("no command"));
    run.split(' ').map(str::to_owned).collect()
}

/// What differs between machines.
pub struct Machine<'a> {
    pub node: &'a str,
    pub ip: String,
    pub memory_mb: u32,
    /// The address of the engine beside an agent.
    pub app: Option<SocketAddr>,
    pub agent_port: u16,
}

/// Writes the settings of a machine as DEPLOY.md tells them, with the bounds of the small sheets.
pub fn write_settings(
    path: &Path,
    machine: &Machine<'_>,
    store: SocketAddr,
) -> (SocketAddr, SocketAddr) {
    let Machine {
        node,
        ip,
        memory_mb,
        app,
        agent_port,
    } = machine;
    let front: SocketAddr = format!("{ip}:{}", free_port(ip)).parse().unwrap();
    let ready: SocketAddr = format!("{ip}:{}", free_port(ip)).parse().unwrap();
    let (class, serves, listen) = match app {
        None => (
            "front",
            "[\"front\"]",
            format!("front = \"{front}\"\nready = \"{ready}\"\n"),
        ),
        Some(_) => ("side", "[\"side\"]", String::new()),
    };
    let app = app.map_or(String::new(), |app| {
        format!("app = \"{app}\"\nservice = \"llm\"\n")
    });
    let last_port = agent_port + 15;
    let text = format!(
        "node = \"{node}\"\nrole = \"r\"\nclass = \"{class}\"\nserves = {serves}\nip = \"{ip}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
         internal_ports = [{agent_port},{last_port}]\nseeds = []\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\n\
         entry = \"vip\"\nheartbeat_ms = 1200\n{app}\n[zones]\nzone-a = \"region-a\"\n\n[listen]\n{listen}\n[limits]\ncpu_share = 0.19\n\
         cores = 1\nmemory_mb = {memory_mb}\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\n[bounds]\nseed_lag_s = 3\n\
         reuse_after_s = 2\nstable_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = 8\n\
         loss_slack_ms = 200\nconfig_apply_ms = 2500\nrollback_slack_ms = 250\nouter_ms = 6000\nretry_budget_ratio = 0.2\n\
         budget_window_s = 10\nbudget_slack = 52\nrecover_s = 12\npass_ms = 250\nretry_after_s = 0\nrequire_fence = false\n\
         lease_ms = 3000\nthaw_ms = 300\nceiling_window_s = 5\nceiling_factor = 1.1\nversion_ms = 5000\n\n[platform]\n\
         address = \"{store}\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\nkeep_s = 300\n"
    );
    fs::write(path, text).unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    (front, ready)
}

/// Starts a role as the deploy file says.
pub fn start(place: &Place, role: &str, machine: &Machine<'_>, store: SocketAddr) -> Process {
    let settings = place.folder.join(format!("{}.toml", machine.node));
    let (front, ready) = write_settings(&settings, machine, store);
    spawn(place, role, machine.node, &settings, front, ready)
}

pub fn spawn(
    place: &Place,
    role: &str,
    node: &str,
    settings: &Path,
    front: SocketAddr,
    ready: SocketAddr,
) -> Process {
    let log = File::create(place.folder.join(format!("{node}.log"))).unwrap();
    let words = command(role);
    let mut command = Command::new(&words[0]);
    command
        .args(&words[1..])
        .env_clear()
        .env("AMARANTHFIELD_SETTINGS", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    let errors = log.try_clone().unwrap();
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    let child = command
        .spawn()
        .unwrap_or_else(|error| crate::cannot_run(&format!("{}: {error}", words[0])));
    RUNNING.lock().unwrap().push(child.id());
    Process {
        child,
        front,
        ready,
    }
}

/// A configuration with one route to a plain service.
pub fn plain_config(version: u64, kind: &str, timeout_ms: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-book\",\"host\":\"desk.example\",\"path_prefix\":\"/book/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
