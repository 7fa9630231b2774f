//! The files that receive the result of a job (`drmaa_output_path` and `drmaa_error_path`).

use crate::errno::{Errno, Failure, Result};
use crate::template::INDEX_PLACEHOLDER;
use marbledeck_submission_client::JobInfo;

/// Paths of the files for the result of a job. They may contain the index placeholder.
#[derive(Default)]
pub(super) struct ResultFiles {
    /// Path of the file for the result.
    pub(super) output_path: Option<String>,
    /// Path of the file for the error message of a failed job.
    pub(super) error_path: Option<String>,
    /// Index of the job in its bulk job, which replaces the placeholder.
    pub(super) index: Option<i64>,
}

impl ResultFiles {
    /// Writes the result of a job, or the error message of a failed one.
    ///
    /// # Errors
    /// `Internal` if the file cannot be written.
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

    /// Writes a file, if a path is set.
    fn write_file(&self, path: Option<&str>, bytes: &[u8]) -> Result<()> {
        let Some(path) = path else {
            return Ok(());
        };
        let index = self.index.map(|index| index.to_string());
        let path = path.replace(INDEX_PLACEHOLDER, &index.unwrap_or_default());
        std::fs::write(&path, bytes).map_err(|error| {
            Failure::new(
                Errno::Internal,
                format!("cannot write the job result to {path}: {error}"),
            )
        })
    }
}
