//! A small logger: one line a record on standard error, with Unix seconds, level and module.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct StandardErrorLogger;

impl Log for StandardErrorLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let seconds = since_epoch.unwrap_or_default().as_secs_f64();
        let (level, module) = (record.level(), record.target());
        // A closed standard error is no reason to stop serving.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{seconds:.6} {level} {module}: {}",
            record.args()
        );
    }

    fn flush(&self) {}
}

/// Starts logging at this level; a second call only sets the level.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&StandardErrorLogger);
    log::set_max_level(level);
}
