//! A cluster of several nodes with stubs of discovery and the workers. The connections to the voters go through
//! [`NetworkLink`]s, so that a test can delay or interrupt them.

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

/// Name of the node's configuration file in its folder.
const CONFIG_FILE: &str = "config.json";
/// Name of the operator file in the node's folder.
const OPERATOR_FILE: &str = "site.toml";
/// Time limit of every wait. It is far longer than a wait takes unless the test fails.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Options of a [`Cluster`].
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of voters; the nodes with the lowest numbers vote.
    pub voters: usize,
    /// Number of worker stubs.
    pub workers: usize,
    /// Number of slots of each worker.
    pub slots: usize,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Duration of a tick of the voters, in milliseconds.
    pub tick_ms: u64,
    /// Additional tables of each node's operator file.
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
    /// Its number, counted from 1.
    pub number: usize,
    folder: PathBuf,
    child: Option<Child>,
    /// Processes of the node that were started before `child` and may still run.
    earlier_processes: Vec<Child>,
    /// The address for clients.
    pub client_address: String,
    /// The address for operators.
    pub admin_address: String,
    /// The address for submitters; empty without a submission front.
    pub submission_address: String,
    log: ProcessLog,
    /// The links through which this node connects to the voters, in the order of their numbers.
    pub voter_links: Vec<NetworkLink>,
}

/// Nodes that agree with each other, and the stubs that they speak to. Dropping it kills all nodes.
pub struct Cluster {
    /// The stub of discovery.
    pub discovery: DiscoveryStub,
    /// The worker stubs; discovery lists all of them.
    pub workers: Vec<WorkerStub>,
    /// The nodes; node `n` is at index `n - 1`.
    pub nodes: Vec<ClusterNode>,
    options: ClusterOptions,
    folder: PathBuf,
}

impl Cluster {
    /// Starts the stubs and all nodes, and waits until each node has a valid reading of the records.
    ///
    /// # Panics
    /// A node does not start within the time limit.
    pub fn start(options: ClusterOptions) -> Self {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
        let count = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
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
            earlier_processes: Vec::new(),
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
            cluster.wait_for_records(number, "a valid reading of the records", |text| {
                text.contains("reading for") && !text.contains("reading for 0 ms")
            });
        }
        cluster
    }

    /// The text of a node's operator file.
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
        for (index, link) in node.voter_links.iter().enumerate() {
            // A voter listens on a free port; the other nodes connect to it through their links.
            let is_own = index + 1 == node.number;
            let address = if is_own {
                "127.0.0.1:0".to_owned()
            } else {
                link.address.to_string()
            };
            let _ = write!(
                text,
                "{{ number = {}, address = \"{address}\" }}, ",
                index + 1
            );
        }
        text + "]\n" + &options.operator_keys
    }

    /// Starts a process of a node and waits until it accepts connections. A process of the node that still runs is not
    /// ended: the new one takes over from it.
    ///
    /// # Panics
    /// The process does not start within the time limit.
    pub fn spawn(&mut self, number: usize) {
        let log_length = self.nodes[number - 1].log.len();
        self.write_files(number);
        self.spawn_process(number);
        self.wait_until_started(number, log_length);
    }

    /// Writes the node's configuration and its operator file.
    fn write_files(&self, number: usize) {
        let index = number - 1;
        let (discovery, list) = (self.discovery.address, self.discovery.endpoint_list());
        let node = &self.nodes[index];
        fs::create_dir_all(&node.folder).expect("create the folder of the node");
        let config = format!(
            r#"{{"name":"n{number}","discovery":"{discovery}","listen":"127.0.0.1:0","known":{list},
            "settings":{{"balancers":{},"self-index":{index},"zone":0,"localities":["east"],"kinds":["std"],
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
        fs::write(node.folder.join(CONFIG_FILE), config).expect("write the node configuration");
        fs::write(node.folder.join(OPERATOR_FILE), self.operator_file(node))
            .expect("write the operator file");
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
        // The process must not inherit stdin or stdout: if it outlived the test, it would keep the test runner's pipes
        // open.
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.arg("--site").arg(node.folder.join(OPERATOR_FILE));
        command.stderr(Stdio::piped());
        let child = command.spawn().expect("start the marbledeck process");
        // The child is stored before any wait, so that dropping the cluster kills it even if a wait panics.
        node.earlier_processes.extend(node.child.replace(child));
        let child = node.child.as_mut().expect("the child was just stored");
        let stderr = child.stderr.take().expect("stderr is piped");
        node.log.follow(stderr, format!("n{number}"));
    }

    /// Waits until a process has logged its addresses. `log_length` is the length of the node's log before the start.
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
        let voter_address = wait_for("takes connections at ");
        let voter_address: SocketAddr = voter_address.parse().expect("the address of a voter");
        for other in &self.nodes {
            other.voter_links[number - 1].set_target(Some(voter_address));
        }
    }

    /// Returns a node's answer to the `records` call; empty if the node does not answer.
    pub fn records(&self, number: usize) -> String {
        self.call_admin(number, "records").unwrap_or_default()
    }

    /// Sends an operator's call to a node and returns the whole answer.
    pub fn call_admin(&self, number: usize, call: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.nodes[number - 1].admin_address).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// Waits until `condition` holds for a node's answer to the `records` call. `expected` describes the condition in
    /// the message of a failure.
    ///
    /// # Panics
    /// The condition does not hold within the time limit.
    pub fn wait_for_records(
        &self,
        number: usize,
        expected: &str,
        condition: impl Fn(&str) -> bool,
    ) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let text = self.records(number);
            if condition(&text) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "node {number} does not show {expected} within {TIMEOUT:?}; last records: {text}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Starts a thread that waits until a node has logged a line that contains `text`, and then kills the process `pid`
    /// with SIGKILL. With it a test ends a process at a chosen point of a handover. The thread returns whether the
    /// process was killed.
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

    /// Returns whether a node has logged a line that contains `text`.
    ///
    /// # Panics
    /// Another thread has panicked while it held the lock.
    pub fn logged(&self, number: usize, text: &str) -> bool {
        self.nodes[number - 1].log.contains(text)
    }

    /// Limits the size of the files that a node's process writes (`RLIMIT_FSIZE`), to simulate a full disk; `None`
    /// removes the limit.
    ///
    /// # Panics
    /// The node does not run, or the limit cannot be set.
    pub fn limit_files(&self, number: usize, bytes: Option<u64>) {
        use rustix::process::{prlimit, Pid, Resource, Rlimit};
        let pid = self.pid(number).and_then(|pid| Pid::from_raw(pid as i32));
        let limit = Rlimit {
            current: bytes,
            maximum: None,
        };
        prlimit(pid, Resource::Fsize, limit).expect("set the file size limit of the node");
    }

    /// Waits until a node has logged a line that contains `text`.
    ///
    /// # Panics
    /// The node logs no such line within the time limit.
    pub fn wait_for_log_line(&self, number: usize, text: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.logged(number, text) {
            assert!(
                Instant::now() < deadline,
                "node {number} does not log '{text}' within {TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until a voter is the leader and returns its number.
    ///
    /// # Panics
    /// No voter is elected within the time limit.
    pub fn leader(&self) -> usize {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let voters = 1..=self.options.voters;
            let is_running = |n: &usize| self.nodes[n - 1].child.is_some();
            if let Some(leader) = voters
                .filter(is_running)
                .find(|n| self.records(*n).contains(" leads,"))
            {
                return leader;
            }
            assert!(
                Instant::now() < deadline,
                "no voter is the leader within {TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Kills all processes of a node, and clears the target of the links to it if it is a voter.
    pub fn kill(&mut self, number: usize) {
        let node = &mut self.nodes[number - 1];
        for mut child in node
            .child
            .take()
            .into_iter()
            .chain(node.earlier_processes.drain(..))
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        for node in self.nodes.iter().filter(|_| number <= self.options.voters) {
            node.voter_links[number - 1].set_target(None);
        }
    }

    /// Sends a signal, an option of `kill` such as `-TERM`, to a node.
    ///
    /// # Panics
    /// The node does not run, or the signal cannot be sent.
    pub fn signal(&self, number: usize, signal: &str) {
        let child = self.nodes[number - 1]
            .child
            .as_ref()
            .expect("the node runs");
        let sent = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "kill {signal} failed for node {number}"
        );
    }

    /// Returns the id of a node's newest process, or `None` after [`Cluster::kill`].
    pub fn pid(&self, number: usize) -> Option<u32> {
        self.nodes[number - 1].child.as_ref().map(Child::id)
    }

    /// Returns the folder of a voter's durable store.
    pub fn store(&self, number: usize) -> PathBuf {
        self.nodes[number - 1].folder.join("store")
    }

    /// Returns the temporary folder of the cluster, which is removed on drop.
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
