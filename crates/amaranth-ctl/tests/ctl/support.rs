//! Runs commands in this process and captures their output.

use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use amaranth_ctl::exit::ExitStatus;
use amaranth_ctl::output::CommandOutput;
use amaranth_standin::log_standin::{LogOptions, LogStandin};

/// A writer whose output a test can read.
#[derive(Debug, Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).expect("reports are UTF-8")
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The exit status and output of a command.
#[derive(Debug)]
pub struct CommandResult {
    pub status: ExitStatus,
    pub report: String,
    pub errors: String,
}

/// Runs `amaranthctl` with `arguments`.
pub async fn ctl(arguments: &[&str]) -> CommandResult {
    let reports = SharedBuffer::default();
    let errors = SharedBuffer::default();
    let output = CommandOutput::new(Box::new(reports.clone()), Box::new(errors.clone()));
    let status = amaranth_ctl::run(arguments.iter().map(Into::into), output).await;
    CommandResult {
        status,
        report: reports.text(),
        errors: errors.text(),
    }
}

/// A folder that is removed when the value is dropped.
#[derive(Debug)]
pub struct TestFolder(PathBuf);

impl TestFolder {
    /// Creates a folder with one file.
    pub fn create(text: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("amaranthctl-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).expect("the folder can be created");
        let folder = Self(path);
        folder.write("10.toml", text);
        folder
    }

    /// Writes one file.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).expect("the file can be written");
    }

    /// Returns the path.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // Files that can't be removed are left to the system's cleanup.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the path of a folder of this repository.
pub fn repository_folder(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(name);
    path.to_str().expect("the path is UTF-8").to_owned()
}

/// A stand-in of the log, with the address at which commands reach it.
pub struct TestLog {
    pub standin: LogStandin,
    address: String,
}

impl TestLog {
    pub async fn spawn() -> Self {
        Self::spawn_with(LogOptions::default()).await
    }

    pub async fn spawn_with(options: LogOptions) -> Self {
        let standin = LogStandin::spawn(options)
            .await
            .expect("the log stand-in starts");
        let address = standin.address().to_string();
        Self { standin, address }
    }

    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Runs a command with the address of this log and an author.
    pub async fn ctl(&self, arguments: &[&str]) -> CommandResult {
        let options = ["--log", &self.address, "--author", "aiko"];
        ctl(&[arguments, &options].concat()).await
    }

    /// Applies a folder that must be accepted.
    pub async fn apply(&self, text: &str) {
        let folder = TestFolder::create(text);
        let result = self.ctl(&["apply", folder.path(), "--yes"]).await;
        assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
    }
}
