//! A cluster: several nodes of the program between the stand-ins, with voter_links between them that a test can cut.

use crate::environment::binary;
use crate::process_log::ProcessLog;
use crate::{DiscoveryStub, NetworkLink, WorkerStub};
use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The node's file, and the operator file, in a node's folder.
const CONFIG_FILE: &str = "config.json";
const OPERATOR_FILE: &str = "site.toml";
/// Far longer than anything takes; only a failure waits for so long.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Nodes, of which the first ones vote.
    pub nodes: usize,
    /// How many of them vote.
    pub voters: usize,
    /// Worker stand-ins.
    pub workers: usize,
    /// The free slots that each worker reports.
    pub slots: usize,
    /// The lease, in milliseconds.
    pub lease_ms: u64,
    /// The voters' step of time, in milliseconds.
    pub tick_ms: u64,
    /// Further parts of each node's operator file.
    pub operator_keys: String,
    /// Whether each node has a submission front.
    pub submission: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        ClusterOptions {
            nodes: 5,
            voters: 3,
            workers: 2,
            slots: 64,
            lease_ms: 1500,
            tick_ms: 20,
            operator_keys: String::new(),
            submission: false,
        }
    }
}

/// One node of the cluster.
pub struct ClusterNode {
    /// Its number, from 1 on.
    pub number: usize,
    folder: PathBuf,
    child: Option<Child>,
    /// Processes of it that were started before and not ended.
    former: Vec<Child>,
    /// Where clients connect.
    pub client_address: String,
    /// Where operators connect.
    pub admin_address: String,
    /// Where submitters connect; empty without a submission front.
    pub submission_address: String,
    log: ProcessLog,
    /// The links to the voters, as this node knows them.
    pub voter_links: Vec<NetworkLink>,
}

/// The cluster: it ends its nodes when it is dropped.
pub struct Cluster {
    /// Discovery.
    pub discovery: DiscoveryStub,
    /// The workers, all of them listed.
    pub workers: Vec<WorkerStub>,
    /// The nodes, by their numbers less 1.
    pub nodes: Vec<ClusterNode>,
    options: ClusterOptions,
    folder: PathBuf,
}

impl Cluster {
    /// Starts the stand-ins and all nodes, and waits until each has a reading.
    ///
    /// # Panics
    /// They do not start.
    pub fn start(options: ClusterOptions) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("marbledeck-fleet-{}-{count}", std::process::id()));
        let discovery = DiscoveryStub::start();
        let workers: Vec<WorkerStub> = (1..=options.workers)
            .map(|n| WorkerStub::start(&format!("w{n}"), options.slots))
            .collect();
        for worker in &workers {
            discovery.set_worker(&worker.id, worker.address, "up");
        }
        let node = |number: usize| ClusterNode {
            number,
            folder: folder.join(format!("n{number}")),
            child: None,
            former: Vec::new(),
            client_address: String::new(),
            admin_address: String::new(),
            submission_address: String::new(),
            log: ProcessLog::default(),
            voter_links: (0..options.voters).map(|_| NetworkLink::start()).collect(),
        };
        let nodes = (1..=options.nodes).map(node).collect();
        let mut cluster = Cluster {
            discovery,
            workers,
            nodes,
            options,
            folder,
        };
        for number in 1..=cluster.nodes.len() {
            cluster.spawn(number);
        }
        for number in 1..=cluster.nodes.len() {
            cluster.wait_for_records(number, "a reading", |text| {
                text.contains("reading for") && !text.contains("reading for 0 ms")
            });
        }
        cluster
    }

    fn operator_file(&self, node: &ClusterNode) -> String {
        let options = &self.options;
        let mut text = String::new();
        if options.submission {
            text += "[submission]\nlisten = \"127.0.0.1:0\"\n";
        }
        let _ = write!(
            text,
            "[agreement]\nfleet = \"lab\"\nnode = {}\nnodes = {}\nfrom = [\"127.0.0.1\"]\nstore = {:?}\nlease_ms = {}\n\
             tick_ms = {}\nvoters = [",
            node.number,
            options.nodes,
            node.folder.join("store"),
            options.lease_ms,
            options.tick_ms
        );
        for (at, link) in node.voter_links.iter().enumerate() {
            // Its own address is a free port; the voter_links of the others lead there.
            let own = at + 1 == node.number;
            let address = if own {
                "127.0.0.1:0".to_owned()
            } else {
                link.address.to_string()
            };
            let _ = write!(text, "{{ number = {}, address = \"{address}\" }}, ", at + 1);
        }
        text + "]\n" + &options.operator_keys
    }

    /// Starts a node, or starts it anew.
    ///
    /// # Panics
    /// It does not start.
    pub fn spawn(&mut self, number: usize) {
        let log_length = self.nodes[number - 1].log.len();
        self.write_files(number);
        self.spawn_process(number);
        self.wait_until_started(number, log_length);
    }

    /// Writes the node's file and the operator file.
    fn write_files(&self, number: usize) {
        let at = number - 1;
        let (discovery, list) = (self.discovery.address, self.discovery.endpoint_list());
        let node = &self.nodes[at];
        fs::create_dir_all(&node.folder).expect("a folder for temporary files");
        let config = format!(
            r#"{{"name":"n{number}","discovery":"{discovery}","listen":"127.0.0.1:0","known":{list},
            "settings":{{"balancers":{},"self-index":{at},"zone":0,"localities":["east"],"kinds":["std"],
            "registry-mode":"subscribe","stats":{{"fields":["x0"],"how":"piggyback"}},
            "family-info":{{"class-kind":[-1,-1],"class-stretch":[2.0,2.5],"report-x0":"free slots",
            "tells-start":true,"progress-us":1000000}},
            "bounds":{{"conn-idle-us":5000000,"connect-timeout-us":250000,"max-open":200000,
            "max-retry-after-us":2000000,"may-cancel":true,"probes":false,"retry-after":true,
            "second-copies":false,"try-limit":3}},
            "profiles":[{{"name":"preview","effect":"safe","promise-us":5000000,"deadline-us":7500000}},
            {{"name":"sheet-publish","effect":"keyed","dedup-scope":"cell","dedup-window-us":40000000,
            "promise-us":20000000,"deadline-us":25000000}}],
            "rules":{{"must-ask-in-us":10000000}},
            "tenants":[{{"name":"au","quota-per-s":100000,"share":0.5}},
            {{"name":"sued","quota-per-s":100000,"share":0.5}}]}}}}"#,
            self.options.nodes
        );
        fs::write(node.folder.join(CONFIG_FILE), config).expect("written");
        fs::write(node.folder.join(OPERATOR_FILE), self.operator_file(node)).expect("written");
    }

    fn spawn_process(&mut self, number: usize) {
        let node = &mut self.nodes[number - 1];
        let mut command = Command::new(binary());
        command.env("LB_CONFIG", node.folder.join(CONFIG_FILE));
        command.env("LB_OPS", "127.0.0.1:0");
        command.env("TMPDIR", &node.folder);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        // It must hold nothing of the test's that outlives it.
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.arg("--site").arg(node.folder.join(OPERATOR_FILE));
        command.stderr(Stdio::piped());
        let child = command.spawn().expect("the node starts");
        // Entered before anything is waited for: whatever happens, it is ended with the cluster.
        node.former.extend(node.child.replace(child));
        let child = node.child.as_mut().expect("just entered");
        let stderr = child.stderr.take().expect("piped");
        node.log.follow(stderr, format!("n{number}"));
    }

    /// Waits for the addresses that a process logs after so many lines.
    fn wait_until_started(&mut self, number: usize, log_length: usize) {
        let node = &mut self.nodes[number - 1];
        let wait_for = |text| node.log.wait_for(log_length, text, TIMEOUT);
        if self.options.submission {
            node.submission_address = wait_for("takes submissions at ");
        }
        node.admin_address = wait_for("answers operators at ");
        node.client_address = wait_for("serves at ");
        if number > self.options.voters {
            return;
        }
        let voter = wait_for("takes connections at ");
        let voter: SocketAddr = voter.parse().expect("an address");
        for other in &self.nodes {
            other.voter_links[number - 1].set_target(Some(voter));
        }
    }

    /// What a node answers to `records`.
    pub fn records(&self, number: usize) -> String {
        self.call_admin(number, "records").unwrap_or_default()
    }

    /// Sends a line to a node's operators' address; the whole answer.
    pub fn call_admin(&self, number: usize, call: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.nodes[number - 1].admin_address).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// Waits until a node's records are so.
    ///
    /// # Panics
    /// They do not come to that.
    pub fn wait_for_records(&self, number: usize, what: &str, is: impl Fn(&str) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let text = self.records(number);
            if is(&text) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "node {number}: {what} is not seen in {text}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until a line of a node's log holds this, then kills one of its processes: for what must happen while
    /// another one starts. Tells whether it came to that.
    pub fn kill_once_logged(
        &self,
        number: usize,
        text: &'static str,
        pid: u32,
    ) -> std::thread::JoinHandle<bool> {
        let log = self.nodes[number - 1].log.clone();
        std::thread::spawn(move || {
            let deadline = Instant::now() + TIMEOUT / 3;
            while Instant::now() < deadline {
                if log.contains(text) {
                    let killed = Command::new("kill")
                        .args(["-KILL", &pid.to_string()])
                        .status();
                    return killed.is_ok_and(|status| status.success());
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            false
        })
    }

    /// Whether a line of a node's log holds this.
    ///
    /// # Panics
    /// A test has panicked.
    pub fn logged(&self, number: usize, text: &str) -> bool {
        self.nodes[number - 1].log.contains(text)
    }

    /// From now on no file of a node's may grow beyond so many bytes; none for no limit.
    ///
    /// # Panics
    /// It does not run, or the limit cannot be set.
    pub fn limit_files(&self, number: usize, bytes: Option<u64>) {
        use rustix::process::{prlimit, Pid, Resource, Rlimit};
        let pid = self.pid(number).and_then(|pid| Pid::from_raw(pid as i32));
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        prlimit(pid, Resource::Fsize, limit).expect("the limit of a child");
    }

    /// Waits until a line of a node's log holds this.
    ///
    /// # Panics
    /// None does.
    pub fn wait_for_log_line(&self, number: usize, text: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.logged(number, text) {
            assert!(
                Instant::now() < deadline,
                "node {number} does not log '{text}'"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The voter that leads.
    ///
    /// # Panics
    /// None does.
    pub fn leader(&self) -> usize {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let voters = 1..=self.options.voters;
            let runs = |n: &usize| self.nodes[n - 1].child.is_some();
            if let Some(leader) = voters
                .filter(runs)
                .find(|n| self.records(*n).contains(" leads,"))
            {
                return leader;
            }
            assert!(Instant::now() < deadline, "no voter leads");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Kills a node.
    pub fn kill(&mut self, number: usize) {
        let node = &mut self.nodes[number - 1];
        for mut child in node.child.take().into_iter().chain(node.former.drain(..)) {
            let _ = child.kill();
            let _ = child.wait();
        }
        for node in self.nodes.iter().filter(|_| number <= self.options.voters) {
            node.voter_links[number - 1].set_target(None);
        }
    }

    /// Sends a node a signal, by its name.
    ///
    /// # Panics
    /// It does not run.
    pub fn signal(&self, number: usize, signal: &str) {
        let child = self.nodes[number - 1].child.as_ref().expect("it runs");
        let sent = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(sent.is_ok_and(|status| status.success()), "kill {signal}");
    }

    /// The id of a node's process.
    pub fn pid(&self, number: usize) -> Option<u32> {
        self.nodes[number - 1].child.as_ref().map(Child::id)
    }

    /// Where a voter keeps what it must not forget.
    pub fn store(&self, number: usize) -> PathBuf {
        self.nodes[number - 1].folder.join("store")
    }

    /// A folder of its own.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for number in 1..=self.nodes.len() {
            self.kill(number);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
