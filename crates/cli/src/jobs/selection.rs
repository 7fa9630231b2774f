//! Conversion of the selected jobs of a command line into requests.

use crate::args::JobSelection;
use marbledeck_submission_client::{Client, Error, Filter, Targets};

/// Converts the selection into the targets of an operation.
pub(super) fn targets(selection: JobSelection) -> Targets {
    match selection {
        JobSelection {
            array: Some(array), ..
        } => Targets::array(array),
        JobSelection {
            session: Some(session),
            ..
        } => Targets {
            session: Some(session),
            ..Targets::default()
        },
        JobSelection { mut jobs, .. } if jobs.len() == 1 => Targets::job(jobs.remove(0)),
        JobSelection { jobs, .. } => Targets {
            job_ids: Some(jobs),
            ..Targets::default()
        },
    }
}

/// Returns the ids of the selected jobs; requests them from the node if a session or an array is selected.
pub(super) fn job_ids(client: &Client, selection: JobSelection) -> Result<Vec<String>, Error> {
    if !selection.jobs.is_empty() {
        return Ok(selection.jobs);
    }
    let filter = Filter {
        job_array_id: selection.array,
        ..Filter::default()
    };
    let mut job_ids = Vec::new();
    client.list_jobs(selection.session.as_deref(), &filter, |info| {
        job_ids.push(info.job_id);
    })?;
    Ok(job_ids)
}
