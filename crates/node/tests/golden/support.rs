//! The program, started between sockets of the test's own.

use serde_json::{json, Value};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Far longer than anything takes; only a failure waits for so long.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The variables that the program reads; none of the test's own environment may reach it.
const VARIABLES: [&str; 9] = [
    "LB_CONFIG",
    "LB_LISTEN",
    "LB_DISCOVERY",
    "LB_OPS",
    "LB_NAME",
    "MARBLEDECK_LOG",
    "MARBLEDECK_NODE",
    "TMPDIR",
    "COLUMNS",
];

/// The program without any of its variables, without a terminal.
pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marbledeck"));
    for name in VARIABLES {
        command.env_remove(name);
    }
    command.stdin(Stdio::null());
    command
}

/// A folder of the test's own; removed when it is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("marbledeck-golden-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder for temporary files");
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file there.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("written");
        path
    }

    /// A text without the path of the folder.
    pub fn hide(&self, text: &str) -> String {
        text.replace(&self.0.display().to_string(), "<FOLDER>")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A listener on a free port.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// A worker as discovery writes it.
pub fn member(id: &str, address: SocketAddr) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "east", "flavor": "std", "cell": 0, "phase": "up",
        "up_since_ms": 0})
}

/// The file at `LB_CONFIG` for a node that knows these workers.
pub fn node_file(discovery: SocketAddr, members: &[Value]) -> Value {
    json!({
        "name": "n0", "seed": "7", "discovery": discovery.to_string(), "listen": "127.0.0.1:0", "ops": "127.0.0.1:0",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {
            "balancers": 1, "self-index": 0, "zone": 0, "localities": ["east"], "kinds": ["std"],
            "registry-mode": "subscribe", "stats": {"fields": ["x0"], "how": "piggyback"},
            "family-info": {"class-kind": [-1, -1], "class-stretch": [2.0, 2.5], "report-x0": "free slots",
                "tells-start": true, "progress-us": 1_000_000},
            "bounds": {"conn-idle-us": 5_000_000, "connect-timeout-us": 250_000, "max-open": 20_000,
                "max-retry-after-us": 2_000_000, "may-cancel": true, "probes": false, "retry-after": true,
                "second-copies": false, "try-limit": 3},
            "profiles": [
                {"name": "preview", "effect": "safe", "promise-us": 5_000_000, "deadline-us": 7_500_000},
                {"name": "sheet-publish", "effect": "keyed", "dedup-scope": "cell", "dedup-window-us": 40_000_000,
                    "promise-us": 20_000_000, "deadline-us": 25_000_000}],
            "rules": {"cold-from": 0.38, "overload-factor": 4.0, "tip-after-us": 1_500_000,
                "warm-up-us": 8_400_000, "must-ask-in-us": 10_000_000},
            "tenants": [{"name": "au", "quota-per-s": 20.0, "share": 0.5},
                {"name": "sued", "quota-per-s": 20.0, "share": 0.5}]}})
}

/// A node that runs; it is ended when it is dropped.
pub struct Node {
    child: Child,
    log: Receiver<String>,
    /// The lines of the log that have been read.
    pub logged: Vec<String>,
    _folder: Folder,
    pub client_address: String,
    pub operators: String,
}

impl Node {
    /// Starts a node with this file at `LB_CONFIG` and this operator file, and waits until it serves.
    pub fn start(file: &Value, site: &str) -> Self {
        let folder = Folder::new();
        let config = folder.file("config.json", &file.to_string());
        let site = folder.file("site.toml", site);
        let mut command = program();
        command
            .env("LB_CONFIG", config)
            .env("TMPDIR", folder.path());
        command.arg("--site").arg(site);
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the node starts");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let (sender, log) = channel();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let mut node = Node {
            child,
            log,
            logged: Vec::new(),
            _folder: folder,
            client_address: String::new(),
            operators: String::new(),
        };
        node.operators = node.until_logged("answers operators at ");
        node.client_address = node.until_logged("serves at ");
        node
    }

    /// Waits for a line of the log that holds these words; tells what follows them.
    pub fn until_logged(&mut self, words: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left);
            let line = line.unwrap_or_else(|_| panic!("not logged: {words}: {:?}", self.logged));
            self.logged.push(line.clone());
            if let Some((_, rest)) = line.split_once(words) {
                return rest.to_owned();
            }
        }
    }

    /// Waits until the operators' call `members` tells this.
    pub fn until_members(&self, words: &str) {
        let until = Instant::now() + PATIENCE;
        loop {
            let mut connection = Connection::to(&self.operators);
            connection.send("members\n");
            let members = String::from_utf8(connection.rest()).expect("text");
            if members.contains(words) {
                return;
            }
            assert!(Instant::now() < until, "no '{words}' in {members}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Waits for its end, with the rest of its log; tells its exit status.
    pub fn ended(&mut self) -> i32 {
        let status = self.child.wait().expect("a child");
        self.logged.extend(self.log.iter());
        status.code().expect("ended by itself")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A connection of the test's.
pub struct Connection(pub TcpStream);

impl Connection {
    pub fn to(address: &str) -> Self {
        Connection::of(TcpStream::connect(address).expect("it listens"))
    }

    /// The next connection that a stand-in takes.
    pub fn accepted(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("a socket");
        let until = Instant::now() + PATIENCE;
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(error) if Instant::now() > until => panic!("nobody connects: {error}"),
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        };
        stream.set_nonblocking(false).expect("a socket");
        Connection::of(stream)
    }

    fn of(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        stream.set_nodelay(true).expect("a socket of TCP");
        Connection(stream)
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.write_all(bytes.as_ref()).expect("sent");
    }

    /// All bytes up to the end of the connection.
    pub fn rest(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.0.read_to_end(&mut bytes).expect("an end");
        bytes
    }

    /// The bytes of one message: its head, and its body by `Content-Length`.
    pub fn message(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            bytes.push(self.byte(&bytes));
        }
        for _ in 0..content_length(&bytes) {
            bytes.push(self.byte(&bytes));
        }
        bytes
    }

    fn byte(&mut self, before: &[u8]) -> u8 {
        let mut byte = [0];
        let read = self.0.read_exact(&mut byte);
        read.unwrap_or_else(|e| panic!("{e} after {:?}", String::from_utf8_lossy(before)));
        byte[0]
    }

    /// Sends a request and reads its answer, to the end of the connection where it says that it closes.
    pub fn ask(&mut self, request: impl AsRef<[u8]>) -> Vec<u8> {
        self.send(request);
        let mut answer = self.message();
        if answer.windows(17).any(|word| word == b"Connection: close") {
            answer.extend(self.rest());
            answer.extend(b"<closed>");
        }
        answer
    }
}

fn content_length(head: &[u8]) -> usize {
    let head = String::from_utf8_lossy(head);
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let length = lines.find(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    length.map_or(0, |(_, length)| length.parse().expect("a length"))
}
