//! A node with its submission front, between the stand-ins.

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

/// Far longer than anything takes; only a failure waits for so long.
const TIMEOUT: Duration = Duration::from_secs(30);

/// What an environment is made of.
#[derive(Clone, Debug)]
pub struct EnvironmentOptions {
    /// Worker stand-ins.
    pub workers: usize,
    /// The free slots that each worker reports.
    pub slots: usize,
    /// Further lines of the submission front's file.
    pub submission_keys: String,
    /// The node's limit on memory.
    pub memory_mb: usize,
    /// The node's limit on descriptors.
    pub sockets: usize,
    /// What the token buckets of a tenant bear, in jobs a second.
    pub quota: f64,
    /// Further parts of the operator file.
    pub operator_keys: String,
    /// Where the other nodes take datagrams; this one has the number 0.
    pub peers: Vec<SocketAddr>,
    /// How many of the workers discovery lists; all of them where none.
    pub listed_workers: Option<usize>,
    /// How the settings say that lists come: `subscribe` where the node asks for them; else they are pushed.
    pub registry_mode: &'static str,
    /// The list in the node's file; that of discovery at the start of the process where none.
    pub known: Option<serde_json::Value>,
    /// The least important level that the node logs.
    pub log_level: &'static str,
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
        }
    }
}

/// The environment: it ends its node when it is dropped.
pub struct TestEnvironment {
    /// Discovery.
    pub discovery: DiscoveryStub,
    /// The workers.
    pub workers: Vec<WorkerStub>,
    /// Where submitters connect.
    pub submission_address: String,
    /// Where clients connect.
    pub client_address: String,
    /// Where operators connect, at the process that was started last.
    pub admin_address: String,
    folder: PathBuf,
    options: EnvironmentOptions,
    processes: Vec<Child>,
    started: u64,
    log: ProcessLog,
}

/// The node's program, as it was built beside the one that asks.
///
/// # Panics
/// It was not built.
pub fn binary() -> PathBuf {
    let own = std::env::current_exe().expect("a program has a path");
    let found = own.ancestors().map(|folder| folder.join("marbledeck"));
    let found = found.into_iter().find(|path| path.is_file());
    found.expect("build the node first: cargo build, in the same profile")
}

impl TestEnvironment {
    /// Starts the stand-ins and a node, and waits until it serves.
    ///
    /// # Panics
    /// The node does not start.
    pub fn start(options: EnvironmentOptions) -> Self {
        TestEnvironment::start_with(options, |_| {})
    }

    /// As [`TestEnvironment::start`], after discovery was prepared.
    ///
    /// # Panics
    /// The node does not start.
    pub fn start_with(options: EnvironmentOptions, prepare: impl FnOnce(&DiscoveryStub)) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("marbledeck-test-support-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder for temporary files");
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
            discovery,
            workers,
            submission_address: "127.0.0.1:0".to_owned(),
            client_address: "127.0.0.1:0".to_owned(),
            admin_address: String::new(),
            folder,
            options,
            processes: Vec::new(),
            started: 0,
            log: ProcessLog::default(),
        };
        environment.spawn();
        environment
    }

    fn config(&self) -> String {
        let (memory, sockets) = (self.options.memory_mb, self.options.sockets);
        let (quota, started) = (self.options.quota, self.started);
        // Where this one takes datagrams is known to whoever receives one from it.
        let mut peers = "\"127.0.0.1:1\"".to_owned();
        for peer in &self.options.peers {
            let _ = write!(peers, ",\"{peer}\"");
        }
        let may_gossip = !self.options.peers.is_empty();
        let mode = self.options.registry_mode;
        format!(
            r#"{{"name":"n0","seed":"{started:x}7","discovery":"{}",
            "limits":{{"memory_mb":{memory},"sockets":{sockets}}},
            "peer_listen":"127.0.0.1:0","peers":[{peers}],
            "known":{},
            "settings":{{"balancers":1,"self-index":0,"zone":0,"localities":["east"],"kinds":["std"],
            "registry-mode":"{mode}","stats":{{"fields":["x0"],"how":"piggyback"}},
            "family-info":{{"class-kind":[-1,-1],"class-stretch":[2.0,2.5],"report-x0":"free slots",
            "tells-start":true,"progress-us":1000000}},
            "bounds":{{"conn-idle-us":5000000,"connect-timeout-us":250000,"max-open":200000,
            "max-retry-after-us":2000000,"may-cancel":true,"may-tell":{may_gossip},"probes":false,"retry-after":true,
            "second-copies":true,"try-limit":3}},
            "profiles":[{{"name":"preview","effect":"safe","promise-us":5000000,"deadline-us":7500000}},
            {{"name":"sheet-publish","effect":"keyed","dedup-scope":"cell","dedup-window-us":40000000,
            "promise-us":20000000,"deadline-us":25000000}}],
            "rules":{{"cold-from":0.38,"overload-factor":4.0,"tip-after-us":1500000,"warm-up-us":8400000,
            "must-ask-in-us":10000000}},
            "tenants":[{{"name":"au","quota-per-s":{quota},"share":0.5}},
            {{"name":"sued","quota-per-s":{quota},"share":0.5}}]}}}}"#,
            self.discovery.address,
            self.known_list()
        )
    }

    /// The list in the node's file.
    fn known_list(&self) -> serde_json::Value {
        let known = self.options.known.clone();
        known.unwrap_or_else(|| self.discovery.endpoint_list())
    }

    fn spawn(&mut self) {
        self.started += 1;
        let config = self.folder.join("config.json");
        fs::write(&config, self.config()).expect("written");
        let site = self.folder.join("site.toml");
        let text = format!(
            "[submission]\nlisten = \"{}\"\n{}\n{}\n",
            self.submission_address, self.options.submission_keys, self.options.operator_keys
        );
        fs::write(&site, text).expect("written");
        let mut command = Command::new(binary());
        command
            .env("LB_CONFIG", &config)
            .env("LB_LISTEN", &self.client_address);
        command
            .env("LB_OPS", "127.0.0.1:0")
            .env("TMPDIR", &self.folder);
        command.env_remove("LB_NAME").env_remove("LB_DISCOVERY");
        command.env("MARBLEDECK_LOG", self.options.log_level);
        command.arg("--site").arg(&site).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the node starts");
        let stderr = child.stderr.take().expect("piped");
        self.processes.push(child);
        let log_length = self.log.len();
        self.log.follow(stderr, format!("node {}", self.started));
        let wait_for = |text| self.log.wait_for(log_length, text, TIMEOUT);
        let submission_address = wait_for("takes submissions at ");
        let admin_address = wait_for("answers operators at ");
        self.client_address = wait_for("serves at ");
        self.submission_address = submission_address;
        self.admin_address = admin_address;
    }

    /// Starts another process of the node beside the one that runs, and waits until it serves.
    ///
    /// # Panics
    /// It does not serve in time.
    pub fn start_successor(&mut self) {
        self.spawn();
        let deadline = Instant::now() + TIMEOUT;
        while self.call_admin("check").as_deref() != Some("ACK serving") {
            assert!(Instant::now() < deadline, "the new process does not serve");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a line of the log of any process holds this text. Returns what follows it.
    ///
    /// # Panics
    /// There is none in time.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.log.wait_for(0, text, TIMEOUT)
    }

    /// Whether a line of the log of any process holds this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.contains(text)
    }

    /// What the node tells of its workers, a line each.
    pub fn members(&self) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        let mut call = "members".to_owned();
        loop {
            let page = self.read_admin(&call);
            let page = page.lines().filter(|line| !line.starts_with("--"));
            lines.extend(page.map(str::to_owned));
            let last = lines.last().and_then(|line| line.split(' ').next());
            match last.map(|last| format!("members after {last}")) {
                Some(next) if next != call => call = next,
                _ => return lines,
            }
        }
    }

    /// All that a node answers to a call of an operator.
    fn read_admin(&self, call: &str) -> String {
        use std::io::{Read, Write};
        let mut text = String::new();
        if let Ok(mut stream) = std::net::TcpStream::connect(&self.admin_address) {
            let said = stream.write_all(format!("{call}\n").as_bytes());
            let _ = said.and_then(|()| stream.read_to_string(&mut text).map(drop));
        }
        text
    }

    /// Waits until the line of a worker is so; none for one that has none.
    ///
    /// # Panics
    /// It does not come to that.
    pub fn wait_for_member(&self, id: &str, is: impl Fn(Option<&str>) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let members = self.members();
            let line = members
                .iter()
                .find(|line| line.split(' ').next() == Some(id));
            if is(line.map(String::as_str)) {
                return;
            }
            assert!(Instant::now() < deadline, "{id}: {line:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends a line to the operators' address of the process that was started last.
    pub fn call_admin(&self, call: &str) -> Option<String> {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(&self.admin_address).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer.trim_end().to_owned())
    }

    /// Sends a signal to the process that was started as this one, from 0 on.
    ///
    /// # Panics
    /// It cannot be sent.
    pub fn signal(&self, which: usize, signal: &str) {
        let id = self.processes[which].id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {signal}");
    }

    /// Waits for the end of a process; tells whether its status was 0.
    pub fn exits_cleanly(&mut self, which: usize) -> bool {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match self.processes[which].try_wait() {
                Ok(Some(status)) => return status.success(),
                _ if Instant::now() > deadline => return false,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// The list in the file of processes that are started from now on; the newest where none.
    pub fn set_known(&mut self, known: Option<serde_json::Value>) {
        self.options.known = known;
    }

    /// The process id of the node that was started last.
    ///
    /// # Panics
    /// None was started.
    pub fn process_id(&self) -> u32 {
        self.processes.last().expect("started").id()
    }

    /// Has the node that was started last end by SIGTERM, and by SIGKILL after so long; then starts another at the same
    /// addresses. Returns whether it has ended by itself, with status 0.
    ///
    /// # Panics
    /// The node does not start.
    pub fn terminate_and_restart(&mut self, kill_after: Duration) -> bool {
        let last = self.processes.len() - 1;
        self.signal(last, "-TERM");
        let deadline = Instant::now() + kill_after;
        let mut status = None;
        while status.is_none() && Instant::now() < deadline {
            status = self.processes[last].try_wait().ok().flatten();
            std::thread::sleep(Duration::from_millis(5));
        }
        self.crash_and_restart();
        status.is_some_and(|status| status.success())
    }

    /// Kills the node that was started last, and starts another at the same addresses.
    pub fn crash_and_restart(&mut self) {
        if let Some(mut child) = self.processes.pop() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.spawn();
    }

    /// The most memory that the node that was started last has held, in KiB.
    pub fn peak_kib(&self) -> Option<u64> {
        let id = self.processes.last()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_ascii_whitespace().nth(1)?.parse().ok()
    }

    /// The memory that it holds now, in KiB.
    pub fn resident_kib(&self) -> Option<u64> {
        let id = self.processes.last()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_ascii_whitespace().nth(1)?.parse().ok()
    }

    /// A folder of its own.
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
