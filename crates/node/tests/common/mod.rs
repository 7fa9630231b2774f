//! Replays a recorded exchange against the program. `exchanges/README` describes the format of the files.
//!
//! Tests run concurrently, and each forks: until its exec, a child holds copies of the sockets of all tests. A close
//! alone may thus leave a connection or a listener open for a while, so the player shuts sockets down.

mod process;
mod script;
mod sockets;

use script::unroll;
use sockets::Connection;
use std::collections::HashMap;
use std::fs;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Much longer than any step takes, so only a failure reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// The state of an exchange that is replayed.
pub struct Player {
    folder: PathBuf,
    listeners: HashMap<String, TcpListener>,
    connections: HashMap<String, Connection>,
    /// Sockets that are bound to the addresses in use and never listen. They reserve an address for this test, and
    /// without a listener it refuses connections.
    reserved: Vec<OwnedFd>,
    /// Values that a step may use as `{name}`: addresses and the matches of a `<name>`.
    values: HashMap<String, String>,
    /// The content of the node's file at its start.
    config: String,
    child: Option<Child>,
    /// The previous process of the node, next to which `child` was started.
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

/// Replays the exchange in this file.
pub fn play(file: &Path) {
    let name = file.file_stem().unwrap().to_string_lossy().into_owned();
    let folder = std::env::temp_dir().join(format!("marbledeck-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mut player = Player {
        folder,
        listeners: HashMap::new(),
        connections: HashMap::new(),
        reserved: Vec::new(),
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
    let mut lines = unroll(&text).into_iter().peekable();
    while let Some((number, line)) = lines.next() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.is_empty() || line.starts_with('#') {
            continue;
        }
        player.step = format!("{}:{}: {line}", file.display(), number + 1);
        let mut payload = Vec::new();
        while let Some((_, part)) = lines.next_if(|(_, l)| l.starts_with(['|', ':', '.', '%'])) {
            payload.extend(player.payload_bytes(&part));
        }
        player.play_step(&words, &payload);
    }
}

impl Player {
    /// The bytes of a payload line, whose first character is its mark.
    fn payload_bytes(&self, line: &str) -> Vec<u8> {
        let (mark, text) = line.split_at(1);
        let substitute = |text: String, (name, value): (&String, &String)| {
            text.replace(&format!("{{{name}}}"), value)
        };
        let text = self.values.iter().fold(text.to_owned(), substitute);
        let text = match (mark, text.as_str()) {
            ("|", _) => text + "\r\n",
            (":", _) => text + "\n",
            ("%", "") => "0\r\n\r\n".to_owned(),
            ("%", _) => format!("{:x}\r\n{text}\n\r\n", text.len() + 1),
            _ => text,
        };
        text.into_bytes()
    }

    fn fail(&self, message: &str) -> ! {
        let log: Vec<String> = self.log.iter().flat_map(|log| log.try_iter()).collect();
        panic!("{}: {message}\nlog:\n{}", self.step, log.join("\n"))
    }

    fn play_step(&mut self, words: &[&str], payload: &[u8]) {
        let is_known = self.play_connect_step(words)
            || self.play_listener_step(words)
            || self.play_connection_step(words, payload)
            || self.play_process_step(words, payload);
        if !is_known {
            self.fail("unknown step");
        }
    }
}
