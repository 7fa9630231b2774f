//! Logging to standard error: one line per record with Unix time in seconds, level and module.

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
        // Errors are ignored: the node serves on even if standard error is closed.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{seconds:.6} {level} {module}: {}",
            record.args()
        );
    }

    fn flush(&self) {}
}

/// Installs the logger and sets the level; a second call only sets the level.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&StandardErrorLogger);
    log::set_max_level(level);
}
