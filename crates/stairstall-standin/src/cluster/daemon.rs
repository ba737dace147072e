use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::ClusterPlan;
use crate::Link;

/// How long a daemon may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the rest of its log may take once a daemon has ended.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon as a process of its own; dropping it kills the process.
#[derive(Debug)]
pub struct DaemonProcess {
    name: String,
    zone: String,
    address: SocketAddr,
    rpc_address: SocketAddr,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Reads its log; ends with that.
    log_reader: JoinHandle<()>,
    running: bool,
    /// The way from this daemon to the store.
    pub store: Link,
}

impl DaemonProcess {
    /// Starts a daemon and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns why it did not start.
    pub async fn start(
        plan: &ClusterPlan,
        name: &str,
        zone: &str,
        store: Link,
        vm_list: SocketAddr,
    ) -> std::io::Result<Self> {
        let mut child = Command::new(&plan.binary)
            .args(["--vm", name, "--zone", zone])
            .args(["--listen", "127.0.0.1:0", "--rpc-listen", "127.0.0.1:0"])
            .args(["--store", &store.address().to_string()])
            .args(["--vm-list", &vm_list.to_string()])
            .args([
                "--drain-delay-ms",
                &plan.drain_delay.as_millis().to_string(),
            ])
            .args(&plan.flags)
            .envs(plan.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| std::io::Error::other("no stdout"))?;
        let (sender, serving) = oneshot::channel();
        let log = read_log(BufReader::new(stdout), Arc::clone(&lines), sender);
        let log_reader = tokio::spawn(log);
        let started = tokio::time::timeout(START_TIMEOUT, serving).await;
        let Ok(Ok((address, rpc_address))) = started else {
            let log = lines
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .join("\n");
            return Err(std::io::Error::other(format!(
                "{name} did not start:\n{log}"
            )));
        };
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address,
            rpc_address,
            child,
            lines,
            log_reader,
            running: true,
            store,
        })
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns where callers reach it.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where peers reach it.
    #[must_use]
    pub const fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// Tells whether it was neither killed nor stopped.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.running
    }

    /// Returns its process id.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the log lines so far that contain a text.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    /// Kills it without warning.
    pub async fn kill(&mut self) {
        self.running = false;
        let _ = self.child.kill().await;
        self.finish_log().await;
    }

    /// Reads what a process that has ended logged last.
    async fn finish_log(&mut self) {
        let _ = tokio::time::timeout(LOG_TIMEOUT, &mut self.log_reader).await;
    }

    /// Asks it to stop and waits for its exit code.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        let status = self.child.wait().await.ok()?;
        self.running = false;
        self.finish_log().await;
        status.code()
    }

    /// Asks it to stop, without waiting.
    pub fn ask_to_stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends it a hang-up.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Thaws it.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id().and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

async fn read_log(
    stdout: BufReader<tokio::process::ChildStdout>,
    lines: Arc<Mutex<Vec<String>>>,
    serving: oneshot::Sender<(SocketAddr, SocketAddr)>,
) {
    let mut serving = Some(serving);
    let mut reader = stdout.lines();
    while let Ok(Some(line)) = reader.next_line().await {
        if serving.is_some()
            && let Some(addresses) = addresses_in(&line)
            && let Some(sender) = serving.take()
        {
            let _ = sender.send(addresses);
        }
        lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }
}

/// Reads the addresses in the line with which a daemon says that it serves.
fn addresses_in(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let value = |name: &str| {
        let rest = line.split_once(&format!(" {name}="))?.1;
        rest.split_whitespace().next()?.parse().ok()
    };
    if !line.contains("serving") {
        return None;
    }
    Some((value("listen")?, value("rpc")?))
}
