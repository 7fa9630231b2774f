//! The processes of the node: their files, signals and logs.

use super::script::match_start;
use super::{Player, STEP_TIMEOUT};
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

impl Player {
    /// Plays a step of the node's processes, or of their time. Returns whether it is one.
    pub fn play_process_step(&mut self, words: &[&str], payload: &[u8]) -> bool {
        match words {
            ["start", rest @ ..] => self.start(rest, payload),
            ["log"] => self.expect_log(payload),
            ["sleep", ms] => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["reload", rest @ ..] => self.reload(rest, payload),
            ["succeed"] => self.succeed(payload),
            ["terminate"] => self.signal("-TERM"),
            ["old", "log"] => {
                std::mem::swap(&mut self.log, &mut self.old_log);
                self.expect_log(payload);
                std::mem::swap(&mut self.log, &mut self.old_log);
            }
            ["old", signal] => send_signal(self.old.as_ref().unwrap(), signal),
            ["hang"] => self.signal("-STOP"),
            ["resume"] => self.signal("-CONT"),
            ["kill"] => {
                let mut child = self.child.take().unwrap();
                child.kill().and_then(|()| child.wait()).unwrap();
            }
            ["old"] => (self.child, self.log) = (self.old.take(), self.old_log.take()),
            ["ends", rest @ ..] => self.expect_end(rest),
            _ => return false,
        }
        true
    }

    fn reload(&mut self, words: &[&str], payload: &[u8]) {
        let text = match words {
            [name] => self.config.replace("127.0.0.1:1", &self.values[*name]),
            _ => String::from_utf8_lossy(payload).into_owned(),
        };
        fs::write(self.folder.join("config.json"), text).unwrap();
        self.signal("-HUP");
    }

    fn expect_end(&mut self, words: &[&str]) {
        let child = if words == ["old"] {
            &mut self.old
        } else {
            &mut self.child
        };
        let status = child.take().unwrap().wait().unwrap();
        if !status.success() {
            self.fail(&status.to_string());
        }
    }

    fn signal(&self, signal: &str) {
        send_signal(self.child.as_ref().unwrap(), signal);
    }

    /// Starts the node with these workers; the payload is a front's file, if there is one.
    pub fn start(&mut self, words: &[&str], front: &[u8]) {
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
    pub fn succeed(&mut self, front: &[u8]) {
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
            self.expect_log(b"takes submissions at <submitters>\n");
        }
        if ops.is_some() {
            self.expect_log(b"answers operators at <operators>\n");
        }
        self.expect_log(b"serves at <consumers>\n");
    }

    /// Waits for a line of the log that ends like this.
    pub fn expect_log(&mut self, pattern: &[u8]) {
        let pattern = String::from_utf8_lossy(pattern).trim_end().to_owned();
        let log = self.log.take().expect("started");
        let deadline = Instant::now() + STEP_TIMEOUT;
        while let Ok(line) = log.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            let from = line.find(pattern.split('<').next().unwrap());
            let found = from.and_then(|from| {
                match_start(&format!("{pattern}\n"), &format!("{}\n", &line[from..]))
            });
            if let Some((_, values)) = found {
                self.values.extend(values);
                self.log = Some(log);
                return;
            }
        }
        self.fail(&format!("not in the log: {pattern}"));
    }
}

fn send_signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(sent.success());
}
