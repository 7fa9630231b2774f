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
        "session: init", "A second session in the same process returns ALREADY_ACTIVE_SESSION", init_twice;
        "session: init", "An invalid contact string is rejected; without a contact string the default is used, if there is one", init_contact_string;
        "session: init", "A new session can be opened after the previous one has ended", init_after_exit;
        "session: exit", "Without a session the call returns NO_ACTIVE_SESSION", exit_without_session;
        "session: exit", "The jobs of the session continue", exit_keeps_jobs;
        "session", "Without a session the routines on templates and jobs return NO_ACTIVE_SESSION", jobs_without_session;
        "templates: names", "All mandatory attributes exist", attribute_names;
        "templates: names", "All mandatory vector attributes exist", vector_attribute_names;
        "templates: set, get", "An attribute has the value that was set last; a buffer that is too small returns INVALID_ARGUMENT", set_and_get;
        "templates: set, get", "An unknown attribute returns INVALID_ARGUMENT with its name", unknown_attribute;
        "templates: set, get", "A value in a wrong format returns INVALID_ATTRIBUTE_FORMAT", attribute_format;
        "templates: set, get", "A value that is not allowed returns INVALID_ATTRIBUTE_VALUE", attribute_value;
        "templates: set, get", "Values that exclude each other return CONFLICTING_ATTRIBUTE_VALUES", conflicting_attributes;
        "templates: vectors", "A vector is returned in order; after its last element every call returns NO_MORE_ELEMENTS", vector_attributes;
        "templates: environment", "An environment is not supported and returns DENIED_BY_DRM with the attribute's name", environment_attribute;
        "templates: e-mail", "E-mail addresses return DENIED_BY_DRM with the attribute's name, unless e-mail is blocked", email_attributes;
        "templates: start time", "A job does not start before its start time", start_time;
        "templates: paths", "Output is written to the output path, with the working directory placeholder replaced", output_path;
        "run_job", "A job runs to its end and can be waited for", run_and_wait;
        "run_job", "A job that can never run returns DENIED_BY_DRM with the reason", run_denied;
        "run_bulk_jobs", "One job is created for each index", run_bulk;
        "run_bulk_jobs", "Invalid indices return INVALID_ARGUMENT", run_bulk_indices;
        "control", "A job on hold waits until it is released; a second hold returns HOLD_INCONSISTENT_STATE", control_hold;
        "control", "An action that the job's state does not allow returns the INCONSISTENT_STATE error of the action", control_states;
        "control", "A terminated job ends with a signal", control_terminate;
        "control", "An action can apply to all jobs of the session", control_session;
        "control", "An unknown job id returns INVALID_JOB", control_unknown;
        "job_ps", "RUNNING, DONE and FAILED are reported", ps_states;
        "job_ps", "An unknown job id returns INVALID_JOB", ps_unknown;
        "synchronize", "A wait that exceeds its timeout returns EXIT_TIMEOUT", sync_timeout;
        "synchronize", "Without dispose a job can be waited for again; with dispose it is removed", sync_dispose;
        "synchronize", "An unknown job id returns INVALID_JOB", sync_unknown;
        "wait", "A second wait for a reaped job returns INVALID_JOB", wait_twice;
        "wait", "A wait for any job of the session returns a job that has ended; without jobs it returns INVALID_JOB", wait_any;
        "wait", "A wait that exceeds its timeout returns EXIT_TIMEOUT; an invalid timeout returns INVALID_ARGUMENT", wait_timeout;
        "wait", "The resource usage is returned", wait_rusage;
        "wait: status", "A job that never ran is reported as aborted and not as exited", wait_aborted;
        "wait: status", "A failed job has an exit status other than 0", wait_failed;
        "strerror", "Every error code has a text; other numbers are safe to pass", error_strings;
        "information", "Version 1.0, the DRM system, the implementation and the contact string are returned", library_information;
        "error diagnosis", "The diagnosis is truncated to its buffer, which may be NULL", short_diagnosis;
        "arguments", "Null pointers return INVALID_ARGUMENT", null_arguments;
        "threads", "Routines can be called from several threads", threads;
    }
}
