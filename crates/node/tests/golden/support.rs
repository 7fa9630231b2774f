//! Starts the program, with sockets of the test as its clients, workers and discovery.

use serde_json::{json, Value};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Much longer than any step takes, so only a failure reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The variables that the program reads. They are removed, so that the environment of the test does not influence it.
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

/// A command that runs the program without any of its variables and without a terminal.
pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marbledeck"));
    for name in VARIABLES {
        command.env_remove(name);
    }
    command.stdin(Stdio::null());
    command
}

/// A temporary folder; it is removed when this is dropped.
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

    /// Writes a file in the folder.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("written");
        path
    }

    /// Replaces the path of the folder in a text.
    pub fn hide_path(&self, text: &str) -> String {
        text.replace(&self.0.display().to_string(), "<FOLDER>")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Opens a listener on a free port.
pub fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// A worker as an entry of an endpoint list.
pub fn list_entry(id: &str, address: SocketAddr) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "east", "flavor": "std", "cell": 0, "phase": "up",
        "up_since_ms": 0})
}

/// The file at `LB_CONFIG` of a node that knows these workers.
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

/// A running node; it is killed when this is dropped.
pub struct Node {
    child: Child,
    log: Receiver<String>,
    /// The lines of the log that have been read.
    pub log_lines: Vec<String>,
    _folder: Folder,
    pub client_address: String,
    pub admin_address: String,
}

impl Node {
    /// Starts a node with this file at `LB_CONFIG` and this operator file, and waits until it serves.
    pub fn start(file: &Value, operator_file: &str) -> Self {
        let folder = Folder::new();
        let config = folder.write_file("config.json", &file.to_string());
        let operator_file = folder.write_file("site.toml", operator_file);
        let mut command = program();
        command
            .env("LB_CONFIG", config)
            .env("TMPDIR", folder.path());
        command.arg("--site").arg(operator_file);
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
            log_lines: Vec::new(),
            _folder: folder,
            client_address: String::new(),
            admin_address: String::new(),
        };
        node.admin_address = node.wait_for_log("answers operators at ");
        node.client_address = node.wait_for_log("serves at ");
        node
    }

    /// Waits for a line of the log that contains these words. Returns the text after them.
    pub fn wait_for_log(&mut self, words: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left);
            let line = line
                .unwrap_or_else(|_| panic!("'{words}' was not logged, but {:?}", self.log_lines));
            self.log_lines.push(line.clone());
            if let Some((_, rest)) = line.split_once(words) {
                return rest.to_owned();
            }
        }
    }

    /// Waits until the answer of the operators' call `members` contains these words.
    pub fn wait_for_members(&self, words: &str) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let mut connection = Connection::connect(&self.admin_address);
            connection.send("members\n");
            let members = String::from_utf8(connection.read_to_end()).expect("text");
            if members.contains(words) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "'{words}' is not in the answer of members: {members}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Waits for the end of the process and reads the rest of its log. Returns the exit status.
    pub fn wait_for_exit(&mut self) -> i32 {
        let status = self.child.wait().expect("a child");
        self.log_lines.extend(self.log.iter());
        status.code().expect("the node exits without a signal")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A connection of the test.
pub struct Connection(pub TcpStream);

impl Connection {
    pub fn connect(address: &str) -> Self {
        Connection::from_stream(TcpStream::connect(address).expect("it listens"))
    }

    /// Accepts the next connection at a listener.
    pub fn accept(listener: &TcpListener) -> Self {
        listener.set_nonblocking(true).expect("a socket");
        let deadline = Instant::now() + TIMEOUT;
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(error) if Instant::now() > deadline => panic!("no connection arrived: {error}"),
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        };
        stream.set_nonblocking(false).expect("a socket");
        Connection::from_stream(stream)
    }

    fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time");
        stream.set_nodelay(true).expect("a socket of TCP");
        Connection(stream)
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.write_all(bytes.as_ref()).expect("sent");
    }

    /// Reads all bytes up to the end of the connection.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.0.read_to_end(&mut bytes).expect("an end");
        bytes
    }

    /// Reads the bytes of one message: its head, and its body by `Content-Length`.
    pub fn read_message(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            bytes.push(self.read_byte(&bytes));
        }
        for _ in 0..content_length(&bytes) {
            bytes.push(self.read_byte(&bytes));
        }
        bytes
    }

    fn read_byte(&mut self, before: &[u8]) -> u8 {
        let mut byte = [0];
        let read = self.0.read_exact(&mut byte);
        read.unwrap_or_else(|e| panic!("{e} after {:?}", String::from_utf8_lossy(before)));
        byte[0]
    }

    /// Sends a request and reads its answer, up to the end of the connection if the answer closes it.
    pub fn request(&mut self, request: impl AsRef<[u8]>) -> Vec<u8> {
        self.send(request);
        let mut answer = self.read_message();
        if answer.windows(17).any(|word| word == b"Connection: close") {
            answer.extend(self.read_to_end());
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
