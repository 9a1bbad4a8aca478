//! Starts, pauses, kills and restarts controllers as separate processes on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::{send_request, serve};
use crate::state_service::StateService;

/// Response of the fake cloud to a request for its machine types.
const MACHINE_TYPES: &str = r#"{"Rigs":[{"Name":"small","Cores":64,"Gpus":0,"MemoryGb":512,"CacheGb":50,
    "PullGbPerS":1.0,"Rate":0.8,"SpotPrice":0.2,"ReadyS":30,"Yards":["z0","z1","z2"]}]}"#;
/// Number of loopback address ranges. The process id selects the range of a process, so two processes share a range if
/// their ids differ by a multiple of this number.
const ADDRESS_RANGES: u32 = 250;
/// Timeout of a readiness request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two readiness requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The configuration of the controllers under test.
pub struct ControllerSetup {
    /// Path of the controllers' binary.
    pub program: PathBuf,
    /// Directory for settings files and logs of the controllers.
    pub folder: PathBuf,
    /// Number of controllers.
    pub count: usize,
    /// Teams in the deployment section of the settings file.
    pub teams: Vec<String>,
    /// Content of the features file. With `None`, the controllers run without one and all features are off.
    pub features: Option<String>,
}

/// Running controllers; dropping the value kills their processes.
pub struct Controllers {
    setup: ControllerSetup,
    user_addresses: Vec<SocketAddr>,
    /// By controller; `None` before the first start and after [`Controllers::kill`].
    processes: Vec<Option<Child>>,
}

/// Number of loopback addresses that this process has allocated.
static ALLOCATED_ADDRESSES: AtomicU16 = AtomicU16::new(0);

/// Returns a free port on a loopback address from the range of this process, which other processes do not use for
/// outgoing connections. On 127.0.0.1, such a connection could occupy the port after it was found free and before the
/// controller listens on it.
fn free_address() -> io::Result<SocketAddr> {
    let number = ALLOCATED_ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let [high, low] = number.to_be_bytes();
    let process = (std::process::id() % ADDRESS_RANGES) as u8;
    let ip = Ipv4Addr::new(127, 1 + process, high, 1 + low % u8::MAX);
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Starts a fake cloud that offers one machine type and rejects every rental for lack of capacity, so that jobs stay
/// pending until they are cancelled.
fn start_cloud() -> io::Result<SocketAddr> {
    serve(
        |request| match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => (200, MACHINE_TYPES.into()),
            ("GET", path) if path.starts_with("/hosts") => {
                (200, r#"{"Hosts":[],"Truncated":false}"#.into())
            }
            ("POST", "/hosts") => (503, r#"{"error":"no capacity"}"#.into()),
            _ => (200, "{}".into()),
        },
    )
}

impl Controllers {
    /// Writes the settings and features files and starts all controllers against a state service and a fake cloud.
    pub fn start(setup: ControllerSetup, state: SocketAddr) -> io::Result<Self> {
        let cloud = start_cloud()?;
        let mut user_addresses = Vec::new();
        let mut peer_addresses = Vec::new();
        for _ in 0..setup.count {
            user_addresses.push(free_address()?);
            peer_addresses.push(free_address()?);
        }
        for index in 0..setup.count {
            let text = settings_file(
                &setup,
                index,
                &user_addresses,
                &peer_addresses,
                cloud,
                state,
            );
            std::fs::write(setup.folder.join(format!("n{index}.toml")), text)?;
        }
        if let Some(features) = &setup.features {
            std::fs::write(setup.folder.join("features.toml"), features)?;
        }
        let processes = (0..setup.count).map(|_| None).collect();
        let mut controllers = Controllers {
            setup,
            user_addresses,
            processes,
        };
        for index in 0..controllers.setup.count {
            controllers.restart(index)?;
        }
        Ok(controllers)
    }

    /// Addresses on which the controllers serve users, by controller.
    pub fn user_addresses(&self) -> &[SocketAddr] {
        &self.user_addresses
    }

    /// Kills a controller's process if it is running, and starts a new one with the same settings.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        self.kill(index)?;
        let folder: &Path = &self.setup.folder;
        let mut command = Command::new(&self.setup.program);
        command
            .arg("run")
            .arg("--config")
            .arg(folder.join(format!("n{index}.toml")));
        if self.setup.features.is_some() {
            command.arg("--features").arg(folder.join("features.toml"));
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("n{index}.log")))?;
        let child = command.stdin(Stdio::null()).stderr(log).spawn()?;
        self.processes[index] = Some(child);
        Ok(())
    }

    /// Kills a controller's process with SIGKILL and waits for its exit. Does nothing if it is not running.
    pub fn kill(&mut self, index: usize) -> io::Result<()> {
        if let Some(mut child) = self.processes[index].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Pauses a controller's process with SIGSTOP or resumes it with SIGCONT. Does nothing if it is not running.
    pub fn set_paused(&self, index: usize, paused: bool) -> io::Result<()> {
        let Some(child) = &self.processes[index] else {
            return Ok(());
        };
        let signal = if paused { "-STOP" } else { "-CONT" };
        let status = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!(
                "kill {signal} of controller n{index} failed: {status}"
            )))
        }
    }

    /// Waits until all controllers report that they are ready. The timeout covers all of them together.
    pub fn wait_until_ready(&self, state: &StateService, timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        for address in &self.user_addresses {
            loop {
                if matches!(
                    send_request(*address, "GET", "/ready", "", REQUEST_TIMEOUT),
                    Ok((200, _))
                ) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(io::Error::new(
                        io::ErrorKind::TimedOut,
                        format!("controller at {address} was not ready within {timeout:?}"),
                    ));
                }
                // One of the controllers still has to write the records that readiness depends on. The condition is
                // never true, so this pauses for the whole interval.
                state.wait_until(POLL_INTERVAL, |_| false);
            }
        }
        Ok(())
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            // An error means that the process has already ended.
            let _ = self.kill(index);
        }
    }
}

/// Returns the content of a controller's settings file.
fn settings_file(
    setup: &ControllerSetup,
    index: usize,
    user_addresses: &[SocketAddr],
    peer_addresses: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
) -> String {
    let mut text = format!(
        "host_name = \"n{index}\"\ndomain = \"z{}\"\nfront = \"{}\"\ncluster_listen = \"{}\"\n",
        index % 3,
        user_addresses[index],
        peer_addresses[index]
    );
    for (other, address) in peer_addresses
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != index)
    {
        text += &format!(
            "[[known]]\nhost_name = \"n{other}\"\ndomain = \"z{}\"\nendpoint = \"{address}\"\n",
            other % 3
        );
    }
    text += &format!(
        "[services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[deployment]\ncount = {}\n\
         zones = [\"z0\", \"z1\", \"z2\"]\n",
        setup.count
    );
    for team in &setup.teams {
        text += &format!("[[deployment.teams]]\nname = \"{team}\"\n");
    }
    text += "[deployment.workers]\nreport_s = 1.0\nlease_s = 6.0\ngang_wait_s = 20.0\n\
             gang_peer_s = 4.0\ncancel_s = 20.0\n\
             [deployment.state]\nrps = 4000.0\nwrite_rps = 1000.0\nvalue_kb = 16.0\ntxn_ops = 16\n\
             [deployment.cloud]\nrps = 10.0\nlist_lag_s = 2.0\n\
             [deployment.limits]\ncores = 1.0\nram_mb = 500.0\nmax_sockets = 2000\n";
    text
}
