//! Steps that start, signal and end the node's processes, and those that read their logs.

use super::script::match_start;
use super::{Player, STEP_TIMEOUT};
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

impl Player {
    /// Plays a step that concerns the node's processes or lets time pass. Returns whether it is one.
    pub fn play_process_step(&mut self, words: &[&str], payload: &[u8]) -> bool {
        match words {
            ["start", rest @ ..] => self.start(rest, payload),
            ["log"] => self.expect_log(payload),
            ["sleep", ms] => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["reload", rest @ ..] => self.reload(rest, payload),
            ["succeed"] => self.start_successor(payload),
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

    /// Starts the node with these limits and workers, and with a submission file unless the payload is empty.
    pub fn start(&mut self, words: &[&str], submission: &[u8]) {
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
        let submission_file = self.write_submission_file(submission);
        let listen = self.reserve_address();
        self.spawn(&listen, ops.as_deref(), descriptors, submission_file);
    }

    /// Writes the submission file. Returns its path, or none if the text is empty.
    fn write_submission_file(&self, text: &[u8]) -> Option<PathBuf> {
        let path = self.folder.join("submission.toml");
        (!text.is_empty()).then(|| {
            fs::write(&path, text).unwrap();
            path
        })
    }

    /// Starts another process of the node next to the running one.
    pub fn start_successor(&mut self, submission: &[u8]) {
        let old_operators = self.values["operators"].clone();
        self.values.insert("elders".to_owned(), old_operators);
        (self.old, self.old_log) = (self.child.take(), self.log.take());
        let listen = self.values["consumers"].clone();
        let submission_file = self.write_submission_file(submission);
        self.spawn(&listen, Some("127.0.0.1:0"), "1024", submission_file);
    }

    fn spawn(
        &mut self,
        listen: &str,
        ops: Option<&str>,
        descriptors: &str,
        submission_file: Option<PathBuf>,
    ) {
        let path = self.folder.join("config.json");
        let takes_submissions = submission_file.is_some();
        let mut command = Command::new("sh");
        let shell_script = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        command.args(["-c", &shell_script, env!("CARGO_BIN_EXE_marbledeck")]);
        command
            .env("LB_CONFIG", path)
            .env("LB_LISTEN", listen)
            .env("TMPDIR", &self.folder)
            .env("LB_DISCOVERY", &self.values["directory"])
            .envs(ops.map(|addr| ("LB_OPS", addr)))
            .stderr(Stdio::piped());
        if let Some(file) = submission_file {
            command.arg("--submission").arg(file);
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
        if takes_submissions {
            self.expect_log(b"takes submissions at <submitters>\n");
        }
        if ops.is_some() {
            self.expect_log(b"answers operators at <operators>\n");
        }
        self.expect_log(b"serves at <consumers>\n");
    }

    /// Waits for a line of the log that ends with this pattern.
    pub fn expect_log(&mut self, pattern: &[u8]) {
        let pattern = String::from_utf8_lossy(pattern).trim_end().to_owned();
        let log = self.log.take().expect("started");
        let deadline = Instant::now() + STEP_TIMEOUT;
        while let Ok(line) = log.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            let start = line.find(pattern.split('<').next().unwrap());
            let found = start.and_then(|start| {
                match_start(&format!("{pattern}\n"), &format!("{}\n", &line[start..]))
            });
            if let Some((_, values)) = found {
                self.values.extend(values);
                self.log = Some(log);
                return;
            }
        }
        self.fail(&format!("no line of the log matches: {pattern}"));
    }
}

fn send_signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(sent.success());
}
