//! A small logger: one line a record on standard error, with Unix seconds, level and module.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Lines;

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.unwrap_or_default().as_secs_f64();
        let (level, module) = (record.level(), record.target());
        // A closed standard error is no reason to stop serving.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{now:.6} {level} {module}: {}",
            record.args()
        );
    }

    fn flush(&self) {}
}

/// Starts logging at this level; a second call only sets the level.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&Lines);
    log::set_max_level(level);
}
