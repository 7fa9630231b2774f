//! Clauses of GFD.133 (DRMAA 1.0), tested through the C interface. Each test runs a check of `c/checks.c` in a separate
//! process, since a process has at most one session.

use crate::{Clause, Fixture, Outcome};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Returns the path of the library that was built together with this program or its tests.
fn library_path() -> PathBuf {
    let executable = std::env::current_exe().expect("the path of this program");
    let found = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join("libdrmaa.so"));
    let found = found.into_iter().find(|path| path.is_file());
    found.expect("libdrmaa.so not found: run cargo build in the same profile first")
}

/// Compiles the check program on the first call and returns its path.
fn compiled_checks(fixture: &Fixture) -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let program = fixture.environment.folder().join("checks");
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("c/checks.c");
        let mut cc = Command::new("cc");
        cc.args([
            "-std=gnu99",
            "-Wall",
            "-Wextra",
            "-Werror",
            "-pthread",
            "-o",
        ])
        .arg(&program);
        let output = cc
            .arg(source)
            .arg(library_path())
            .output()
            .expect("a C compiler");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        program
    })
}

/// Runs the check with this name and panics if it fails.
fn run_check(fixture: &Fixture, name: &str) {
    let mut run = Command::new(compiled_checks(fixture));
    run.env_remove("DRMAA_CONTACT").env(
        "LD_LIBRARY_PATH",
        library_path()
            .parent()
            .expect("the library is in a directory"),
    );
    let output = run
        .arg(name)
        .arg(&fixture.environment.submission_address)
        .arg(fixture.environment.folder())
        .output();
    let output = output.expect("the check program can be started");
    assert!(
        output.status.success(),
        "{}: {}",
        output.status,
        String::from_utf8_lossy(&output.stdout).trim()
    );
}

/// Creates clauses from their sections, expected behaviours and the names of their checks.
macro_rules! clauses {
    ($($section:literal, $expected:literal, $check:ident;)*) => {
        vec![$(Clause {
            section: concat!("GFD.133, ", $section),
            expected: $expected,
            test: Some(|fixture| {
                run_check(fixture, stringify!($check));
                Outcome::Holds
            }),
        }),*]
    };
}

/// All clauses of GFD.133, in the order of their sections.
pub(crate) fn clauses() -> Vec<Clause> {
    clauses! {
        "session: init", "A second session of a process is ALREADY_ACTIVE_SESSION", init_twice;
        "session: init", "A contact that makes no sense is refused; without one the default counts, if there is one", init_contact_string;
        "session: init", "A session can follow another", init_after_exit;
        "session: exit", "Without a session: NO_ACTIVE_SESSION", exit_without_session;
        "session: exit", "Jobs of the session go on", exit_keeps_jobs;
        "session", "Without a session every routine on jobs is NO_ACTIVE_SESSION", jobs_without_session;
        "templates: names", "All mandatory attributes exist", attribute_names;
        "templates: names", "All mandatory vector attributes exist", vector_attribute_names;
        "templates: set, get", "An attribute has the value that was set last; a buffer that is too small is INVALID_ARGUMENT", set_and_get;
        "templates: set, get", "An unknown attribute is INVALID_ARGUMENT and named", unknown_attribute;
        "templates: set, get", "A value of the wrong format is INVALID_ATTRIBUTE_FORMAT", attribute_format;
        "templates: set, get", "A value that is not possible is INVALID_ATTRIBUTE_VALUE", attribute_value;
        "templates: set, get", "Values that exclude each other are CONFLICTING_ATTRIBUTE_VALUES", conflicting_attributes;
        "templates: vectors", "Lists come back in order, end with NO_MORE_ELEMENTS and stay there", vector_attributes;
        "templates: environment", "What cannot be honoured is denied by name", environment_attribute;
        "templates: e-mail", "Blocked mails are not asked for; others are denied by name", email_attributes;
        "templates: start time", "A job does not start before its time", start_time;
        "templates: paths", "Output goes to the path, with the working directory filled in", output_path;
        "run_job", "A job runs and can be waited for", run_and_wait;
        "run_job", "A job that will never be taken is DENIED_BY_DRM, with the reason", run_denied;
        "run_bulk_jobs", "A job for each index", run_bulk;
        "run_bulk_jobs", "Indices that name no job are INVALID_ARGUMENT", run_bulk_indices;
        "control", "A held job waits until it is released; holding it twice is HOLD_INCONSISTENT_STATE", control_hold;
        "control", "What the job's state does not allow is the matching INCONSISTENT_STATE", control_states;
        "control", "A terminated job ends, and tells of a signal", control_terminate;
        "control", "All jobs of the session at once", control_session;
        "control", "A job that is not known is INVALID_JOB", control_unknown;
        "job_ps", "RUNNING, DONE and FAILED are told", ps_states;
        "job_ps", "A job that is not known is INVALID_JOB", ps_unknown;
        "synchronize", "Too long a wait is EXIT_TIMEOUT", sync_timeout;
        "synchronize", "Without disposal a job can be waited for again; with it, it is gone", sync_dispose;
        "synchronize", "A job that is not known is INVALID_JOB", sync_unknown;
        "wait", "A second wait on a reaped job is INVALID_JOB", wait_twice;
        "wait", "Any job of the session; without one INVALID_JOB", wait_any;
        "wait", "Too long a wait is EXIT_TIMEOUT; a timeout that makes no sense is INVALID_ARGUMENT", wait_timeout;
        "wait", "The use of resources is told", wait_rusage;
        "wait: status", "A job that never ran is aborted and not exited", wait_aborted;
        "wait: status", "A job that has failed has another exit status than 0", wait_failed;
        "strerror", "Every code has its words, and other numbers do no harm", error_strings;
        "information", "Version 1.0, system, implementation and contact", library_information;
        "error diagnosis", "It is cut to its buffer, and may be left out", short_diagnosis;
        "arguments", "Null pointers are INVALID_ARGUMENT", null_arguments;
        "threads", "Routines may be called from many threads", threads;
    }
}
