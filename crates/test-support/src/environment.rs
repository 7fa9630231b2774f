//! A test environment of one node with a submission front, stubs of the workers and a stub of discovery.

use crate::process_log::ProcessLog;
use crate::{DiscoveryStub, WorkerStub};
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time limit of every wait. It is far longer than a wait takes unless the test fails.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The settings of the class that must not run more than once, after those of the other classes.
const UNSAFE_CLASS: &str =
    r#",{"name":"print","effect":"unsafe","promise-us":5000000,"deadline-us":7500000}"#;

/// Options of a [`TestEnvironment`].
#[derive(Clone, Debug)]
pub struct EnvironmentOptions {
    /// Number of worker stubs.
    pub workers: usize,
    /// Number of slots of each worker.
    pub slots: usize,
    /// Additional lines of the `[submission]` table of the operator file.
    pub submission_keys: String,
    /// The `memory_mb` limit in the node's configuration.
    pub memory_mb: usize,
    /// The `sockets` limit in the node's configuration.
    pub sockets: usize,
    /// The quota of each tenant, in jobs per second.
    pub quota: f64,
    /// Additional tables of the operator file.
    pub operator_keys: String,
    /// Gossip addresses of the other nodes. The node of this environment has the index 0.
    pub peers: Vec<SocketAddr>,
    /// Number of workers that discovery lists at the start, or `None` for all of them.
    pub listed_workers: Option<usize>,
    /// The `registry-mode` setting: with `subscribe` the node polls discovery for lists, otherwise lists are pushed to
    /// it.
    pub registry_mode: &'static str,
    /// The endpoint list in the node's configuration, or `None` for discovery's list at the start of the process.
    pub known: Option<serde_json::Value>,
    /// The log level of the node.
    pub log_level: &'static str,
    /// Whether there is a third class of jobs, `print`, which must not run more than once.
    pub has_unsafe_class: bool,
}

impl Default for EnvironmentOptions {
    fn default() -> Self {
        EnvironmentOptions {
            workers: 3,
            slots: 16,
            submission_keys: String::new(),
            memory_mb: 192,
            sockets: 1024,
            quota: 100_000.0,
            operator_keys: String::new(),
            peers: Vec::new(),
            listed_workers: None,
            registry_mode: "subscribe",
            known: None,
            log_level: "info",
            has_unsafe_class: false,
        }
    }
}

/// A second process of a node that was started and may not serve yet.
#[must_use = "the environment knows its addresses only after `await_successor`"]
pub struct LaunchedSuccessor {
    /// Number of log lines before its start.
    log_length: usize,
}

/// A node with the stubs that it speaks to. Dropping it kills the node's processes.
pub struct TestEnvironment {
    /// The stub of discovery.
    pub discovery: DiscoveryStub,
    /// The worker stubs.
    pub workers: Vec<WorkerStub>,
    /// The address for submitters.
    pub submission_address: String,
    /// The address for clients.
    pub client_address: String,
    /// The address for operators, of the process that was started last.
    pub admin_address: String,
    /// The address of discovery for the process that was started last.
    discovery_address: SocketAddr,
    folder: PathBuf,
    options: EnvironmentOptions,
    processes: Vec<Child>,
    /// Number of processes started so far, those that have ended included.
    spawn_count: u64,
    log: ProcessLog,
}

/// Returns the path of the `marbledeck` binary that was built in the same profile as the running program.
///
/// # Panics
/// The binary has not been built.
pub fn binary() -> PathBuf {
    let executable = std::env::current_exe().expect("the path of this program");
    let found = executable
        .ancestors()
        .map(|folder| folder.join("marbledeck"));
    let found = found.into_iter().find(|path| path.is_file());
    found.expect("marbledeck binary not found: run cargo build in the same profile first")
}

impl TestEnvironment {
    /// Starts the stubs and the node, and waits until the node accepts connections.
    ///
    /// # Panics
    /// The node does not start.
    pub fn start(options: EnvironmentOptions) -> Self {
        TestEnvironment::start_with(options, |_| {})
    }

    /// Like [`TestEnvironment::start`], but calls `prepare` on the discovery stub before the node starts.
    ///
    /// # Panics
    /// The node does not start.
    pub fn start_with(options: EnvironmentOptions, prepare: impl FnOnce(&DiscoveryStub)) -> Self {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("marbledeck-test-support-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("create the folder of the test environment");
        let discovery = DiscoveryStub::start();
        let worker = |n: usize| WorkerStub::start(&format!("w{n}"), options.slots);
        let workers: Vec<WorkerStub> = (1..=options.workers).map(worker).collect();
        for worker in workers
            .iter()
            .take(options.listed_workers.unwrap_or(usize::MAX))
        {
            discovery.set_worker(&worker.id, worker.address, "up");
        }
        prepare(&discovery);
        let mut environment = TestEnvironment {
            discovery_address: discovery.address,
            discovery,
            workers,
            submission_address: "127.0.0.1:0".to_owned(),
            client_address: "127.0.0.1:0".to_owned(),
            admin_address: String::new(),
            folder,
            options,
            processes: Vec::new(),
            spawn_count: 0,
            log: ProcessLog::default(),
        };
        environment.spawn();
        environment
    }

    /// The JSON configuration of the next process.
    fn config(&self) -> String {
        let (memory, sockets) = (self.options.memory_mb, self.options.sockets);
        let (quota, spawn_count) = (self.options.quota, self.spawn_count);
        // The first peer is this node itself. Its gossip port is chosen at the start, and its peers learn the port from
        // its datagrams.
        let mut peers = "\"127.0.0.1:1\"".to_owned();
        for peer in &self.options.peers {
            let _ = write!(peers, ",\"{peer}\"");
        }
        let may_gossip = !self.options.peers.is_empty();
        let mode = self.options.registry_mode;
        let (unsafe_kind, unsafe_stretch, unsafe_class) = if self.options.has_unsafe_class {
            (",-1", ",2.0", UNSAFE_CLASS)
        } else {
            ("", "", "")
        };
        format!(
            r#"{{"name":"n0","seed":"{spawn_count:x}7","discovery":"{}",
            "limits":{{"memory_mb":{memory},"sockets":{sockets}}},
            "peer_listen":"127.0.0.1:0","peers":[{peers}],
            "known":{},
            "settings":{{"balancers":1,"self-index":0,"zone":0,"localities":["east"],"kinds":["std"],
            "registry-mode":"{mode}","stats":{{"fields":["x0"],"how":"piggyback"}},
            "family-info":{{"class-kind":[-1,-1{unsafe_kind}],"class-stretch":[2.0,2.5{unsafe_stretch}],"report-x0":"free slots",
            "tells-start":true,"progress-us":1000000}},
            "bounds":{{"conn-idle-us":5000000,"connect-timeout-us":250000,"max-open":200000,
            "max-retry-after-us":2000000,"may-cancel":true,"may-tell":{may_gossip},"probes":false,"retry-after":true,
            "second-copies":true,"try-limit":3}},
            "profiles":[{{"name":"preview","effect":"safe","promise-us":5000000,"deadline-us":7500000}},
            {{"name":"sheet-publish","effect":"keyed","dedup-scope":"cell","dedup-window-us":40000000,
            "promise-us":20000000,"deadline-us":25000000}}{unsafe_class}],
            "rules":{{"cold-from":0.38,"overload-factor":4.0,"tip-after-us":1500000,"warm-up-us":8400000,
            "must-ask-in-us":10000000}},
            "tenants":[{{"name":"au","quota-per-s":{quota},"share":0.5}},
            {{"name":"sued","quota-per-s":{quota},"share":0.5}}]}}}}"#,
            self.discovery_address,
            self.known_list()
        )
    }

    /// The endpoint list in the configuration of the next process.
    fn known_list(&self) -> serde_json::Value {
        let known = self.options.known.clone();
        known.unwrap_or_else(|| self.discovery.endpoint_list())
    }

    /// Starts a process and waits until it has logged its addresses.
    fn spawn(&mut self) {
        let log_length = self.launch();
        self.await_addresses(log_length);
    }

    /// Writes the configuration and starts a process. Returns the number of log lines before.
    fn launch(&mut self) -> usize {
        self.spawn_count += 1;
        self.discovery_address = self.discovery.begin_process();
        let config = self.folder.join("config.json");
        fs::write(&config, self.config()).expect("write the node configuration");
        let operator_file = self.folder.join("site.toml");
        let text = format!(
            "[submission]\nlisten = \"{}\"\n{}\n{}\n",
            self.submission_address, self.options.submission_keys, self.options.operator_keys
        );
        fs::write(&operator_file, text).expect("write the operator file");
        let mut command = Command::new(binary());
        command
            .env("LB_CONFIG", &config)
            .env("LB_LISTEN", &self.client_address);
        command
            .env("LB_OPS", "127.0.0.1:0")
            .env("TMPDIR", &self.folder);
        command.env_remove("LB_NAME").env_remove("LB_DISCOVERY");
        command.env("MARBLEDECK_LOG", self.options.log_level);
        command
            .arg("--site")
            .arg(&operator_file)
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("start the marbledeck process");
        let stderr = child.stderr.take().expect("stderr is piped");
        self.processes.push(child);
        let log_length = self.log.len();
        self.log
            .follow(stderr, format!("node {}", self.spawn_count));
        log_length
    }

    /// Waits until the process that was started last has logged its addresses, after this number of log lines.
    fn await_addresses(&mut self, log_length: usize) {
        let wait_for = |text| self.log.wait_for(log_length, text, TIMEOUT);
        let submission_address = wait_for("takes submissions at ");
        let admin_address = wait_for("answers operators at ");
        self.client_address = wait_for("serves at ");
        self.submission_address = submission_address;
        self.admin_address = admin_address;
    }

    /// Starts a second process of the node, which takes over from the running one, and waits until it serves.
    ///
    /// # Panics
    /// The new process does not serve within the time limit.
    pub fn start_successor(&mut self) {
        let successor = self.launch_successor();
        self.await_successor(successor);
    }

    /// Starts a second process of the node, which takes over from the running one, and does not wait for it.
    pub fn launch_successor(&mut self) -> LaunchedSuccessor {
        LaunchedSuccessor {
            log_length: self.launch(),
        }
    }

    /// Waits until the process that was started last serves.
    ///
    /// # Panics
    /// It does not serve within the time limit.
    pub fn await_successor(&mut self, successor: LaunchedSuccessor) {
        self.await_addresses(successor.log_length);
        let deadline = Instant::now() + TIMEOUT;
        while self.call_admin("check").as_deref() != Some("ACK serving") {
            assert!(
                Instant::now() < deadline,
                "the new process does not serve within {TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a process has logged a line that contains `text`, and returns the rest of the line.
    ///
    /// # Panics
    /// No process logs such a line within the time limit.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.log.wait_for(0, text, TIMEOUT)
    }

    /// Returns all log lines so far, of all processes.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.all()
    }

    /// Returns whether any process has logged a line that contains `text`.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.contains(text)
    }

    /// Returns all lines of the `members` call, one per worker, and reads page after page.
    pub fn members(&self) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        let mut call = "members".to_owned();
        loop {
            let page = self.read_admin(&call);
            let page = page.lines().filter(|line| !line.starts_with("--"));
            lines.extend(page.map(str::to_owned));
            let last_id = lines.last().and_then(|line| line.split(' ').next());
            match last_id.map(|id| format!("members after {id}")) {
                Some(next) if next != call => call = next,
                _ => return lines,
            }
        }
    }

    /// Sends an operator's call and returns all lines of the answer; empty if the connection fails.
    fn read_admin(&self, call: &str) -> String {
        use std::io::{Read, Write};
        let mut text = String::new();
        if let Ok(mut stream) = std::net::TcpStream::connect(&self.admin_address) {
            let written = stream.write_all(format!("{call}\n").as_bytes());
            let _ = written.and_then(|()| stream.read_to_string(&mut text).map(drop));
        }
        text
    }

    /// Waits until `condition` holds for the worker's line of the `members` call; `None` stands for no line.
    ///
    /// # Panics
    /// The condition does not hold within the time limit.
    pub fn wait_for_member(&self, id: &str, condition: impl Fn(Option<&str>) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let members = self.members();
            let line = members
                .iter()
                .find(|line| line.split(' ').next() == Some(id));
            if condition(line.map(String::as_str)) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "member {id} is not in the expected state after {TIMEOUT:?}: {line:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends an operator's call to the process that was started last and returns the first line of the answer.
    pub fn call_admin(&self, call: &str) -> Option<String> {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(&self.admin_address).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer.trim_end().to_owned())
    }

    /// Sends a signal to a process. `index` counts the processes in the order of their start, from 0.
    ///
    /// # Panics
    /// The signal cannot be sent.
    pub fn signal(&self, index: usize, signal: &str) {
        let pid = self.processes[index].id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "kill {signal} {pid} failed"
        );
    }

    /// Waits for a process to exit and returns whether its exit status is 0; `false` if it doesn't exit in time.
    pub fn exits_cleanly(&mut self, index: usize) -> bool {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match self.processes[index].try_wait() {
                Ok(Some(status)) => return status.success(),
                _ if Instant::now() > deadline => return false,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Sets the endpoint list in the configuration of later processes; `None` stands for discovery's current list.
    pub fn set_known(&mut self, known: Option<serde_json::Value>) {
        self.options.known = known;
    }

    /// Returns the id of the process that was started last.
    ///
    /// # Panics
    /// No process was started.
    pub fn process_id(&self) -> u32 {
        self.processes.last().expect("a process was started").id()
    }

    /// Sends SIGTERM to the process that was started last, and SIGKILL if it still runs after `kill_after`. Then starts
    /// another process at the same addresses. Returns whether the old process exited after SIGTERM with status 0.
    ///
    /// # Panics
    /// The node does not start.
    pub fn terminate_and_restart(&mut self, kill_after: Duration) -> bool {
        let last = self.processes.len() - 1;
        self.signal(last, "-TERM");
        let ended = self.reap(last, kill_after);
        self.spawn();
        ended
    }

    /// Kills the process that was started last, and starts another one at the same addresses.
    pub fn crash_and_restart(&mut self) {
        self.kill(self.processes.len() - 1);
        self.spawn();
    }

    /// Kills a process and waits for its end. `index` counts the processes that were not killed yet in the order of
    /// their start, from 0.
    pub fn kill(&mut self, index: usize) {
        let mut child = self.processes.remove(index);
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits for a process to exit by itself and kills it if it does not within `kill_after`. `index` is as in
    /// [`TestEnvironment::kill`]. Returns whether it exited with status 0.
    pub fn reap(&mut self, index: usize, kill_after: Duration) -> bool {
        let deadline = Instant::now() + kill_after;
        let mut status = None;
        while status.is_none() && Instant::now() < deadline {
            status = self.processes[index].try_wait().ok().flatten();
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill(index);
        status.is_some_and(|status| status.success())
    }

    /// Starts a process at the same addresses after the one before has ended, and waits until it accepts connections.
    ///
    /// # Panics
    /// The node does not start.
    pub fn start_again(&mut self) {
        self.spawn();
    }

    /// Returns the number of processes that were started and not killed or reaped.
    pub fn running(&self) -> usize {
        self.processes.len()
    }

    /// Returns the peak resident memory of the process that was started last, in KiB.
    pub fn peak_kib(&self) -> Option<u64> {
        let pid = self.processes.last()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_ascii_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the current resident memory of the process that was started last, in KiB.
    pub fn resident_kib(&self) -> Option<u64> {
        let pid = self.processes.last()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_ascii_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the temporary folder of the environment, which is removed on drop.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        for child in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
