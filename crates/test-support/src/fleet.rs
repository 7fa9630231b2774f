//! A fleet: several nodes of the program between the stand-ins, with cables between them that a test can cut.

use crate::node::binary;
use crate::{Cable, Directory, Worker};
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far longer than anything takes; only a failure waits for so long.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Nodes, of which the first so many vote.
    pub nodes: usize,
    pub voters: usize,
    pub workers: usize,
    pub slots: usize,
    /// The lease, and the voters' step of time, in milliseconds.
    pub lease_ms: u64,
    pub tick_ms: u64,
    /// Further parts of each node's operator file.
    pub site: String,
    /// Whether each node has a submission front.
    pub submission: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            nodes: 5,
            voters: 3,
            workers: 2,
            slots: 64,
            lease_ms: 1500,
            tick_ms: 20,
            site: String::new(),
            submission: false,
        }
    }
}

/// One node of the fleet.
pub struct FleetNode {
    /// Its number, from 1 on.
    pub number: usize,
    folder: PathBuf,
    child: Option<Child>,
    /// Processes of it that were started before and not ended.
    former: Vec<Child>,
    /// Where consumers, operators and submitters connect.
    pub consumers: String,
    pub operators: String,
    pub submitters: String,
    log: Arc<Mutex<Vec<String>>>,
    /// To the voters, as this node knows them.
    pub cables: Vec<Cable>,
}

/// The fleet: it ends its nodes when it is dropped.
pub struct Fleet {
    pub directory: Directory,
    pub workers: Vec<Worker>,
    pub nodes: Vec<FleetNode>,
    options: FleetOptions,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the stand-ins and all nodes, and waits until each has a reading.
    ///
    /// # Panics
    /// They do not start.
    pub fn start(options: FleetOptions) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("marbledeck-fleet-{}-{count}", std::process::id()));
        let directory = Directory::start();
        let workers: Vec<Worker> = (1..=options.workers)
            .map(|n| Worker::start(&format!("w{n}"), options.slots))
            .collect();
        for worker in &workers {
            directory.set(&worker.id, worker.addr, "up");
        }
        let node = |number: usize| FleetNode {
            number,
            folder: folder.join(format!("n{number}")),
            child: None,
            former: Vec::new(),
            consumers: String::new(),
            operators: String::new(),
            submitters: String::new(),
            log: Arc::default(),
            cables: (0..options.voters).map(|_| Cable::start()).collect(),
        };
        let nodes = (1..=options.nodes).map(node).collect();
        let mut fleet = Fleet {
            directory,
            workers,
            nodes,
            options,
            folder,
        };
        for number in 1..=fleet.nodes.len() {
            fleet.spawn(number);
        }
        for number in 1..=fleet.nodes.len() {
            fleet.until(number, "a reading", |text| {
                text.contains("reading for") && !text.contains("reading for 0 ms")
            });
        }
        fleet
    }

    fn site(&self, node: &FleetNode) -> String {
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
        for (at, cable) in node.cables.iter().enumerate() {
            // Its own address is a free port; the cables of the others lead there.
            let own = at + 1 == node.number;
            let address = if own {
                "127.0.0.1:0".to_owned()
            } else {
                cable.addr.to_string()
            };
            let _ = write!(text, "{{ number = {}, address = \"{address}\" }}, ", at + 1);
        }
        text + "]\n" + &options.site
    }

    /// Starts a node, or starts it anew.
    ///
    /// # Panics
    /// It does not start.
    pub fn spawn(&mut self, number: usize) {
        let at = number - 1;
        let votes = number <= self.options.voters;
        let (directory, list) = (self.directory.addr, self.directory.list());
        let site = self.site(&self.nodes[at]);
        let node = &mut self.nodes[at];
        fs::create_dir_all(&node.folder).expect("a folder for temporary files");
        let config = node.folder.join("config.json");
        let text = format!(
            r#"{{"name":"n{number}","discovery":"{directory}","listen":"127.0.0.1:0","known":{list},
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
        fs::write(&config, text).expect("written");
        let file = node.folder.join("site.toml");
        fs::write(&file, site).expect("written");
        let mut command = Command::new(binary());
        command
            .env("LB_CONFIG", &config)
            .env("LB_OPS", "127.0.0.1:0")
            .env("TMPDIR", &node.folder);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        // It must hold nothing of the test's that outlives it.
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.arg("--site").arg(&file).stderr(Stdio::piped());
        let child = command.spawn().expect("the node starts");
        // Entered before anything is waited for: whatever happens, it is ended with the fleet.
        node.former.extend(node.child.replace(child));
        let child = node.child.as_mut().expect("just entered");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let kept = node.log.clone();
        let before = kept.lock().expect("no panic holds it").len();
        std::thread::spawn(move || {
            let shown = std::env::var_os("MARBLEDECK_LAB_LOG").is_some();
            for line in stderr.lines().map_while(Result::ok) {
                if shown {
                    eprintln!("n{number}: {line}");
                }
                kept.lock().expect("no panic holds it").push(line);
            }
        });
        // In whatever order it says them.
        let log = node.log.clone();
        let said = |words: &str| {
            let until = Instant::now() + PATIENCE;
            loop {
                let lines = log.lock().expect("no panic holds it");
                let line = lines[before..]
                    .iter()
                    .find_map(|line| line.split_once(words));
                if let Some((_, rest)) = line {
                    return rest.trim().to_owned();
                }
                assert!(
                    Instant::now() < until,
                    "node {number} does not say '{words}'"
                );
                drop(lines);
                std::thread::sleep(Duration::from_millis(2));
            }
        };
        if self.options.submission {
            node.submitters = said("takes submissions at ");
        }
        node.operators = said("answers operators at ");
        node.consumers = said("serves at ");
        let voter: Option<SocketAddr> = votes.then(|| {
            let addr = said("takes connections at ");
            addr.parse().expect("an address")
        });
        for other in self.nodes.iter().filter(|_| votes) {
            other.cables[at].lead(voter);
        }
    }

    /// What a node tells of the records.
    pub fn records(&self, number: usize) -> String {
        self.operate(number, "records").unwrap_or_default()
    }

    /// Says a line at a node's operators' address; the whole answer.
    pub fn operate(&self, number: usize, call: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.nodes[number - 1].operators).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// Waits until a node's records are so.
    ///
    /// # Panics
    /// They do not come to that.
    pub fn until(&self, number: usize, what: &str, is: impl Fn(&str) -> bool) {
        let until = Instant::now() + PATIENCE;
        loop {
            let text = self.records(number);
            if is(&text) {
                return;
            }
            assert!(
                Instant::now() < until,
                "node {number}: {what} is not to be seen in {text}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until a line of a node's log holds this, then kills one of its processes: for what must happen while
    /// another one starts. Tells whether it came to that.
    pub fn kill_once_logged(
        &self,
        number: usize,
        words: &'static str,
        pid: u32,
    ) -> std::thread::JoinHandle<bool> {
        let log = self.nodes[number - 1].log.clone();
        std::thread::spawn(move || {
            let until = Instant::now() + PATIENCE / 3;
            while Instant::now() < until {
                let lines = log.lock().expect("no panic holds it");
                if lines.iter().any(|line| line.contains(words)) {
                    let killed = Command::new("kill")
                        .args(["-KILL", &pid.to_string()])
                        .status();
                    return killed.is_ok_and(|status| status.success());
                }
                drop(lines);
                std::thread::sleep(Duration::from_millis(5));
            }
            false
        })
    }

    /// Whether a line of a node's log holds this.
    ///
    /// # Panics
    /// A test has panicked.
    pub fn logged(&self, number: usize, words: &str) -> bool {
        let log = self.nodes[number - 1]
            .log
            .lock()
            .expect("no panic holds it");
        log.iter().any(|line| line.contains(words))
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
    pub fn until_logged(&self, number: usize, words: &str) {
        let until = Instant::now() + PATIENCE;
        while !self.logged(number, words) {
            assert!(
                Instant::now() < until,
                "node {number} does not log '{words}'"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The voter that leads.
    ///
    /// # Panics
    /// None does.
    pub fn leader(&self) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            let voters = 1..=self.options.voters;
            let runs = |n: &usize| self.nodes[n - 1].child.is_some();
            if let Some(leader) = voters
                .filter(runs)
                .find(|n| self.records(*n).contains(" leads,"))
            {
                return leader;
            }
            assert!(Instant::now() < until, "no voter leads");
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
            node.cables[number - 1].lead(None);
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

    /// The number of a node's process.
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

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 1..=self.nodes.len() {
            self.kill(number);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
