//! Plays a recorded exchange against the program. `exchanges/README` tells how the files are written.
//!
//! Tests run side by side, and each forks: until its exec, a child has copies of all sockets of all tests. So a close
//! alone may leave a connection or a listener open for a while; what is to be closed here is shut down.

use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Far longer than anything takes; only a failure waits for so long.
const PATIENCE: Duration = Duration::from_secs(20);

struct Connection {
    stream: TcpStream,
    got: Vec<u8>,
}

impl Connection {
    /// Reads on; tells whether the peer has closed.
    fn read(&mut self, patience: Duration) -> bool {
        self.stream.set_read_timeout(Some(patience)).unwrap();
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(0) => true,
            Ok(n) => {
                self.got.extend_from_slice(&bytes[..n]);
                false
            }
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

pub struct Player {
    folder: PathBuf,
    listeners: HashMap<String, TcpListener>,
    connections: HashMap<String, Connection>,
    /// Sockets that are bound to the addresses in use and never listen: an address whose listener is gone refuses,
    /// and is given to no other test.
    bound: Vec<OwnedFd>,
    /// Addresses, and what was read in a `<name>`.
    values: HashMap<String, String>,
    /// What the node's file said at the start.
    config: String,
    child: Option<Child>,
    /// The process that the child has been started beside.
    old: Option<Child>,
    old_log: Option<Receiver<String>>,
    log: Option<Receiver<String>>,
    step: String,
}

impl Drop for Player {
    fn drop(&mut self) {
        for mut child in self.child.take().into_iter().chain(self.old.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn play(file: &Path) {
    let name = file.file_stem().unwrap().to_string_lossy().into_owned();
    let folder = std::env::temp_dir().join(format!("marbledeck-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mut player = Player {
        folder,
        listeners: HashMap::new(),
        connections: HashMap::new(),
        bound: Vec::new(),
        values: [
            ("64k".to_owned(), "x".repeat(65536)),
            ("60k".to_owned(), "y".repeat(61440)),
        ]
        .into(),
        config: String::new(),
        child: None,
        old: None,
        old_log: None,
        log: None,
        step: String::new(),
    };
    let text = fs::read_to_string(file).unwrap();
    let mut lines = unrolled(&text).into_iter().peekable();
    while let Some((number, line)) = lines.next() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.is_empty() || line.starts_with('#') {
            continue;
        }
        player.step = format!("{}:{}: {line}", file.display(), number + 1);
        let mut payload = Vec::new();
        while let Some((_, part)) = lines.next_if(|(_, l)| l.starts_with(['|', ':', '.', '%'])) {
            payload.extend(player.bytes(&part));
        }
        player.act(&words, &payload);
    }
}

/// The lines with their numbers; those of a `repeat` as often as it says, with {n} counted from 1.
fn unrolled(text: &str) -> Vec<(usize, String)> {
    let (mut lines, mut block, mut times) = (Vec::new(), Vec::new(), 0);
    for (number, line) in text.lines().enumerate() {
        match line.strip_prefix("repeat ") {
            Some(count) => times = count.parse().unwrap(),
            None if line == "end" => {
                for n in 1..=std::mem::take(&mut times) {
                    let filled = block
                        .iter()
                        .map(|(i, l): &(usize, &str)| (*i, l.replace("{n}", &n.to_string())));
                    lines.extend(filled);
                }
                block.clear();
            }
            None if times > 0 => block.push((number, line)),
            None => lines.push((number, line.to_owned())),
        }
    }
    lines
}

impl Player {
    fn bytes(&self, line: &str) -> Vec<u8> {
        let (mark, text) = line.split_at(1);
        let known = |text: String, (name, value): (&String, &String)| {
            text.replace(&format!("{{{name}}}"), value)
        };
        let text = self.values.iter().fold(text.to_owned(), known);
        let text = match (mark, text.as_str()) {
            ("|", _) => text + "\r\n",
            (":", _) => text + "\n",
            ("%", "") => "0\r\n\r\n".to_owned(),
            ("%", _) => format!("{:x}\r\n{text}\n\r\n", text.len() + 1),
            _ => text,
        };
        text.into_bytes()
    }

    fn fail(&self, what: &str) -> ! {
        let log: Vec<String> = self.log.iter().flat_map(|log| log.try_iter()).collect();
        panic!("{}: {what}\nlog:\n{}", self.step, log.join("\n"))
    }

    fn act(&mut self, words: &[&str], payload: &[u8]) {
        match words {
            ["start", rest @ ..] => self.start(rest, payload),
            ["consumer", name] => self.connect(name, "consumers"),
            ["slow", "consumer", name] => {
                // Set before it connects: what the node may send unread stays small.
                let (family, kind) = (AddressFamily::INET, SocketType::STREAM);
                let socket = net::socket_with(family, kind, SocketFlags::CLOEXEC, None).unwrap();
                net::sockopt::set_socket_recv_buffer_size(&socket, 4096).unwrap();
                let addr: SocketAddr = self.values["consumers"].parse().unwrap();
                net::connect(&socket, &addr).unwrap();
                self.keep(name, TcpStream::from(socket));
            }
            ["elder", name] => self.connect(name, "elders"),
            ["operator", name] => self.connect(name, "operators"),
            ["submitter", name] => self.connect(name, "submitters"),
            ["accept", name, "at", listener] => self.accept(name, listener),
            ["quiet", listener] => {
                if self.listeners[*listener].accept().is_ok() {
                    self.fail("a connection that nobody asked for");
                }
            }
            ["fill", listener] => {
                rustix::net::listen(&self.listeners[*listener], 0).unwrap();
                self.connect("filler", listener);
            }
            ["refuse", listener] => {
                let listener = self.listeners.remove(*listener).expect("listens");
                rustix::net::shutdown(&listener, rustix::net::Shutdown::Both).unwrap();
            }
            ["crowd", count] => {
                for n in 0..count.parse().unwrap() {
                    self.connect(&format!("crowd {n}"), "consumers");
                }
            }
            [name, ">"] => {
                let connection = self.connections.get_mut(*name).expect("connected");
                connection.stream.write_all(payload).unwrap();
            }
            [name, "<"] => self.expect(name, payload),
            [name, "<", "nothing"] => {
                self.connections
                    .get_mut(*name)
                    .unwrap()
                    .read(Duration::from_millis(20));
                if !self.connections[*name].got.is_empty() {
                    self.fail("bytes that nobody asked for");
                }
            }
            [name, "closes"] => {
                // The peer may have closed before.
                let connection = self.connections.remove(*name).expect("connected");
                let _ = connection.stream.shutdown(std::net::Shutdown::Both);
            }
            [name, "half-closes"] => {
                let half = std::net::Shutdown::Write;
                self.connections[*name].stream.shutdown(half).unwrap();
            }
            [name, "closed"] => self.closed(name),
            ["log"] => self.logged(payload),
            ["sleep", ms] => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["listen", name] => self.listen(name),
            ["reload", rest @ ..] => {
                let text = match rest {
                    [name] => self.config.replace("127.0.0.1:1", &self.values[*name]),
                    _ => String::from_utf8_lossy(payload).into_owned(),
                };
                fs::write(self.folder.join("config.json"), text).unwrap();
                self.signal("-HUP");
            }
            ["succeed"] => self.succeed(payload),
            ["terminate"] => self.signal("-TERM"),
            ["old", "log"] => {
                std::mem::swap(&mut self.log, &mut self.old_log);
                self.logged(payload);
                std::mem::swap(&mut self.log, &mut self.old_log);
            }
            ["old", signal] => signalled(self.old.as_ref().unwrap(), signal),
            ["hang"] => self.signal("-STOP"),
            ["resume"] => self.signal("-CONT"),
            ["kill"] => {
                let mut child = self.child.take().unwrap();
                child.kill().and_then(|()| child.wait()).unwrap();
            }
            ["old"] => (self.child, self.log) = (self.old.take(), self.old_log.take()),
            ["ends", rest @ ..] => {
                let child = if rest == ["old"] {
                    &mut self.old
                } else {
                    &mut self.child
                };
                let status = child.take().unwrap().wait().unwrap();
                if !status.success() {
                    self.fail(&status.to_string());
                }
            }
            _ => self.fail("no such step"),
        }
    }

    fn signal(&self, signal: &str) {
        signalled(self.child.as_ref().unwrap(), signal);
    }

    /// A free address, kept from others.
    fn address(&mut self) -> String {
        use net::sockopt;
        let (family, flags) = (AddressFamily::INET, SocketFlags::CLOEXEC);
        let socket = net::socket_with(family, SocketType::STREAM, flags, None).unwrap();
        // One that listens may bind beside it, where it sets this as well.
        sockopt::set_socket_reuseaddr(&socket, true).unwrap();
        net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let addr = SocketAddr::try_from(net::getsockname(&socket).unwrap()).unwrap();
        self.bound.push(socket);
        addr.to_string()
    }

    fn listen(&mut self, name: &str) {
        let listener = TcpListener::bind(self.address()).unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        self.values.insert(name.to_owned(), addr);
        self.listeners.insert(name.to_owned(), listener);
    }

    /// Starts the node with these workers; the payload is a front's file, if there is one.
    fn start(&mut self, words: &[&str], front: &[u8]) {
        let (limits, workers): (Vec<&str>, Vec<&str>) = words.iter().partition(|w| w.contains('='));
        let limit = |name| limits.iter().find_map(|limit| limit.strip_prefix(name));
        let sockets = limit("sockets=").unwrap_or("1024");
        let memory = limit("memory=").unwrap_or("192");
        let descriptors = limit("nofile=").unwrap_or("1024");
        let ops = limit("ops=");
        ["directory"]
            .iter()
            .chain(&workers)
            .for_each(|name| self.listen(name));
        let member = |name: &&str| {
            format!(
                r#"{{"id":"{name}","host_port":"{}","locality":"east","flavor":"std","cell":0,"phase":"up"}}"#,
                self.values[*name]
            )
        };
        let members: Vec<String> = workers.iter().map(member).collect();
        let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges");
        let config = fs::read_to_string(tests.join("config.json")).unwrap();
        let config = config.replace("\"MEMBERS\"", &members.join(","));
        let config = config.replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"));
        let config = config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory}"));
        let connect = limit("connect=").unwrap_or("250000");
        let timeout = "\"connect-timeout-us\":";
        let config = config.replace(&format!("{timeout}250000"), &format!("{timeout}{connect}"));
        let window = limit("window=").unwrap_or("40000000");
        let key = "\"dedup-window-us\":";
        let config = config.replace(&format!("{key}40000000"), &format!("{key}{window}"));
        let mode = limit("mode=").unwrap_or("subscribe");
        let config = config.replace("\"subscribe\"", &format!("\"{mode}\""));
        let path = self.folder.join("config.json");
        fs::write(&path, &config).unwrap();
        self.config = config;
        let ops = ops.map(str::to_owned);
        let front = self.front(front);
        let listen = self.address();
        self.spawn(&listen, ops.as_deref(), descriptors, front);
    }

    /// The front's file, if there is one.
    fn front(&self, text: &[u8]) -> Option<PathBuf> {
        let path = self.folder.join("submission.toml");
        (!text.is_empty()).then(|| {
            fs::write(&path, text).unwrap();
            path
        })
    }

    /// Starts another process of the node beside the one that runs.
    fn succeed(&mut self, front: &[u8]) {
        let elders = self.values["operators"].clone();
        self.values.insert("elders".to_owned(), elders);
        (self.old, self.old_log) = (self.child.take(), self.log.take());
        let listen = self.values["consumers"].clone();
        let front = self.front(front);
        self.spawn(&listen, Some("127.0.0.1:0"), "1024", front);
    }

    fn spawn(
        &mut self,
        listen: &str,
        ops: Option<&str>,
        descriptors: &str,
        front: Option<PathBuf>,
    ) {
        let path = self.folder.join("config.json");
        let submits = front.is_some();
        let mut command = Command::new("sh");
        let limited = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        command.args(["-c", &limited, env!("CARGO_BIN_EXE_marbledeck")]);
        command
            .env("LB_CONFIG", path)
            .env("LB_LISTEN", listen)
            .env("TMPDIR", &self.folder)
            .env("LB_DISCOVERY", &self.values["directory"])
            .envs(ops.map(|addr| ("LB_OPS", addr)))
            .stderr(Stdio::piped());
        if let Some(front) = front {
            command.arg("--submission").arg(front);
        }
        let mut child = command.spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = channel();
        std::thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .for_each(|line| drop(sender.send(line)));
        });
        (self.child, self.log) = (Some(child), Some(log));
        if submits {
            self.logged(b"takes submissions at <submitters>\n");
        }
        if ops.is_some() {
            self.logged(b"answers operators at <operators>\n");
        }
        self.logged(b"serves at <consumers>\n");
    }

    fn connect(&mut self, name: &str, to: &str) {
        let stream = TcpStream::connect(&self.values[to]).unwrap();
        self.keep(name, stream);
    }

    fn accept(&mut self, name: &str, listener: &str) {
        let until = Instant::now() + PATIENCE;
        let stream = loop {
            match self.listeners[listener].accept() {
                Ok((stream, _)) => break stream,
                Err(_) if Instant::now() < until => std::thread::sleep(Duration::from_millis(2)),
                Err(e) => self.fail(&e.to_string()),
            }
        };
        stream.set_nonblocking(false).unwrap();
        self.keep(name, stream);
    }

    fn keep(&mut self, name: &str, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let got = Vec::new();
        self.connections
            .insert(name.to_owned(), Connection { stream, got });
    }

    fn expect(&mut self, name: &str, pattern: &[u8]) {
        let pattern = String::from_utf8_lossy(pattern).into_owned();
        let until = Instant::now() + PATIENCE;
        loop {
            let connection = self.connections.get_mut(name).expect("connected");
            let got = String::from_utf8_lossy(&connection.got).into_owned();
            if let Some((used, values)) = matched(&pattern, &got) {
                connection.got.drain(..used);
                return self.values.extend(values);
            }
            if connection.read(Duration::from_millis(50)) || Instant::now() > until {
                self.fail(&format!("wanted\n{pattern}\ngot\n{got}"));
            }
        }
    }

    fn closed(&mut self, name: &str) {
        let until = Instant::now() + PATIENCE;
        let connection = self.connections.get_mut(name).expect("connected");
        while !connection.read(Duration::from_millis(50)) && Instant::now() < until {}
        let rest = String::from_utf8_lossy(&connection.got).into_owned();
        if Instant::now() > until || !rest.is_empty() {
            self.fail(&format!("still open, or not all was expected: {rest}"));
        }
        // As a consumer does that reads the end.
        let _ = self.connections[name]
            .stream
            .shutdown(std::net::Shutdown::Both);
    }

    /// Waits for a line of the log that ends like this.
    fn logged(&mut self, pattern: &[u8]) {
        let pattern = String::from_utf8_lossy(pattern).trim_end().to_owned();
        let log = self.log.take().expect("started");
        let until = Instant::now() + PATIENCE;
        while let Ok(line) = log.recv_timeout(until.saturating_duration_since(Instant::now())) {
            let from = line.find(pattern.split('<').next().unwrap());
            let found = from
                .and_then(|from| matched(&format!("{pattern}\n"), &format!("{}\n", &line[from..])));
            if let Some((_, values)) = found {
                self.values.extend(values);
                self.log = Some(log);
                return;
            }
        }
        self.fail(&format!("not in the log: {pattern}"));
    }
}

fn signalled(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(sent.success());
}

/// Matches a pattern with `<name>` for any run of bytes up to what follows it against the beginning of `got`;
/// tells how much it takes.
fn matched(pattern: &str, got: &str) -> Option<(usize, HashMap<String, String>)> {
    let (mut used, mut values) = (0, HashMap::new());
    let mut parts = pattern.split('<');
    let first = parts.next().unwrap();
    got.starts_with(first).then(|| used += first.len())?;
    for part in parts {
        let (name, literal) = part.split_once('>').expect("a name ends");
        let end = got[used..].find(literal)?;
        values.insert(name.to_owned(), got[used..used + end].to_owned());
        used += end + literal.len();
    }
    Some((used, values))
}
