//! The files that receive the result of a job.

use crate::errno::{Errno, Failure, Result};
use crate::template::INDEX_PLACEHOLDER;
use marbledeck_submission_client::JobInfo;

/// The files for the result of a job. Their paths may hold the placeholder of the index.
#[derive(Default)]
pub(super) struct ResultFiles {
    /// The file for the result.
    pub(super) output_path: Option<String>,
    /// The file for the message of a failure.
    pub(super) error_path: Option<String>,
    /// The index of the job in its bulk.
    pub(super) index: Option<i64>,
}

impl ResultFiles {
    /// Writes the result of a job, or the message of its failure.
    ///
    /// # Errors
    /// `Internal` where a file cannot be written.
    pub(super) fn write(&self, info: &JobInfo) -> Result<()> {
        match (info.result_bytes(), &info.problem) {
            (Some(result), _) => self.write_file(self.output_path.as_deref(), &result),
            (None, Some(problem)) => {
                let line = format!("{}\n", problem.message);
                self.write_file(self.error_path.as_deref(), line.as_bytes())
            }
            (None, None) => Ok(()),
        }
    }

    /// Writes one file, if there is a path for it.
    fn write_file(&self, path: Option<&str>, bytes: &[u8]) -> Result<()> {
        let Some(path) = path else {
            return Ok(());
        };
        let index = self.index.map(|index| index.to_string());
        let path = path.replace(INDEX_PLACEHOLDER, &index.unwrap_or_default());
        std::fs::write(&path, bytes)
            .map_err(|error| Failure::new(Errno::Internal, format!("{path}: {error}")))
    }
}
