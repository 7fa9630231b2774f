//! The log of a node's processes, as they write it to standard error.

use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Where this variable is set, the nodes' logs are shown.
const SHOW_LOG: &str = "MARBLEDECK_LAB_LOG";
/// How often the log is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The lines of all processes of one node.
#[derive(Clone, Default)]
pub(crate) struct ProcessLog(Arc<Mutex<Vec<String>>>);

impl ProcessLog {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().expect("no panic holds it")
    }

    /// Takes the lines of a process as they come.
    pub fn follow(&self, stderr: ChildStderr, label: String) {
        let log = self.clone();
        std::thread::spawn(move || {
            let is_shown = std::env::var_os(SHOW_LOG).is_some();
            let lines = BufReader::new(stderr).lines();
            for line in lines.map_while(Result::ok) {
                if is_shown {
                    eprintln!("{label}: {line}");
                }
                log.lines().push(line);
            }
        });
    }

    /// How many lines there are.
    pub fn len(&self) -> usize {
        self.lines().len()
    }

    /// Whether a line holds this text.
    pub fn contains(&self, text: &str) -> bool {
        self.lines().iter().any(|line| line.contains(text))
    }

    /// What follows a text in the first line that holds it, among those after the first so many.
    ///
    /// # Panics
    /// There is none in time.
    pub fn wait_for(&self, after: usize, text: &str, timeout: Duration) -> String {
        let deadline = Instant::now() + timeout;
        loop {
            let lines = self.lines();
            let mut found = lines[after..]
                .iter()
                .filter_map(|line| line.split_once(text));
            if let Some((_, rest)) = found.next() {
                return rest.trim().to_owned();
            }
            let is_late = Instant::now() >= deadline;
            assert!(!is_late, "no line has '{text}':\n{}", lines.join("\n"));
            drop(lines);
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
