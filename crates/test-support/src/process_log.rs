//! The log lines that a node's processes write to standard error.

use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Environment variable; if it is set, the logs of the nodes are also printed to the test's standard error.
const SHOW_LOG: &str = "MARBLEDECK_LAB_LOG";
/// Interval between two checks in [`ProcessLog::wait_for`].
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The log lines of all processes of one node, in the order of their arrival.
#[derive(Clone, Default)]
pub(crate) struct ProcessLog(Arc<Mutex<Vec<String>>>);

impl ProcessLog {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Starts a thread that collects the lines of a process. `label` marks them if they are printed.
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

    /// Returns the number of lines so far.
    pub fn len(&self) -> usize {
        self.lines().len()
    }

    /// Returns all lines so far.
    pub fn all(&self) -> Vec<String> {
        self.lines().clone()
    }

    /// Returns whether a line contains `text`.
    pub fn contains(&self, text: &str) -> bool {
        self.lines().iter().any(|line| line.contains(text))
    }

    /// Waits for a line that contains `text` after the first `skip` lines of the log, and returns the rest of that line
    /// after `text`.
    ///
    /// # Panics
    /// There is no such line within the timeout.
    pub fn wait_for(&self, skip: usize, text: &str, timeout: Duration) -> String {
        let deadline = Instant::now() + timeout;
        loop {
            let lines = self.lines();
            let mut found = lines[skip..]
                .iter()
                .filter_map(|line| line.split_once(text));
            if let Some((_, rest)) = found.next() {
                return rest.trim().to_owned();
            }
            let is_timeout = Instant::now() >= deadline;
            assert!(
                !is_timeout,
                "no log line contains '{text}' after {timeout:?}; the log:\n{}",
                lines.join("\n")
            );
            drop(lines);
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
