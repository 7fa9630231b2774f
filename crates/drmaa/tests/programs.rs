//! Programs that use `libdrmaa.so` against a node with a stub registry and stub workers: a C program, and the examples
//! of an unmodified Python binding.

use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment, WorkerStub};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

/// Starts a node whose workers serve `/slow` after five seconds, fail `/failing`, and serve any other target after a
/// few milliseconds.
fn start_environment() -> TestEnvironment {
    let environment = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &environment.workers {
        worker.set_behaviour(|job| match job.target.as_str() {
            "/slow" => JobBehaviour::Serve(Duration::from_secs(5), "late".to_owned()),
            "/failing" => JobBehaviour::Fail(Duration::from_millis(5)),
            target => JobBehaviour::Serve(Duration::from_millis(5), format!("made {target}")),
        });
    }
    environment
}

/// Path of the library that was built with these tests.
fn library_path() -> PathBuf {
    let executable = std::env::current_exe().unwrap();
    let directories = executable.ancestors().skip(1).take(2);
    let mut found = directories
        .map(|directory| directory.join("libdrmaa.so"))
        .filter(|path| path.is_file());
    found
        .next()
        .expect("libdrmaa.so is next to the test binary")
}

/// Asserts that a program succeeded and returns its standard output.
fn expect_success(program: &str, output: Output) -> String {
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(
        output.status.success(),
        "{program}: {}\n{out}\n{err}",
        output.status
    );
    out.into_owned()
}

#[test]
fn c_program_completes_all_steps() {
    let environment = start_environment();
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    let program = environment.folder().join("session");
    let mut cc = Command::new("cc");
    cc.args(["-std=c99", "-Wall", "-Wextra", "-Werror", "-pthread", "-o"])
        .arg(&program);
    cc.arg(tests.join("session.c")).arg(library_path());
    expect_success("cc", cc.output().expect("a C compiler"));
    let mut run = Command::new(&program);
    run.env_remove("DRMAA_CONTACT")
        .env("LD_LIBRARY_PATH", library_path().parent().unwrap());
    run.arg(&environment.submission_address)
        .arg(environment.folder());
    let out = expect_success("session", run.output().unwrap());
    assert_eq!(out, "all steps passed\n");
    // Each job ran exactly as often as it was submitted.
    let started: Vec<String> = environment
        .workers
        .iter()
        .flat_map(WorkerStub::started_jobs)
        .map(|job| job.target)
        .collect();
    let count_of = |target: &str| started.iter().filter(|t| *t == target).count();
    assert_eq!(
        (count_of("/one"), count_of("/held"), count_of("/n/299")),
        (1, 1, 1)
    );
    assert_eq!(started.iter().filter(|t| t.starts_with("/n/")).count(), 305);
}

/// Runs the unmodified examples of the Python binding, with `time.sleep` replaced by a function that returns at once.
/// `make binding` fetches the binding; the variable MARBLEDECK_BINDING names its directory.
#[test]
fn examples_of_the_python_binding_succeed() {
    let Some(binding) = std::env::var_os("MARBLEDECK_BINDING").map(PathBuf::from) else {
        return eprintln!("test skipped: MARBLEDECK_BINDING is not set; `make test` fetches the binding and sets it");
    };
    let environment = start_environment();
    let examples = binding.join("examples");
    let mut ran = 0;
    let mut files: Vec<PathBuf> = std::fs::read_dir(&examples)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    for file in files
        .iter()
        .filter(|file| file.extension().is_some_and(|e| e == "py"))
    {
        let mut run = Command::new(binding.join("bin/python"));
        let script = "import runpy, sys, time; time.sleep = lambda s: None; runpy.run_path(sys.argv[1], run_name='__main__')";
        run.arg("-c").arg(script).arg(file).current_dir(&examples);
        run.env("DRMAA_LIBRARY_PATH", library_path());
        run.env(
            "DRMAA_CONTACT",
            format!("{} class=preview tenant=au", environment.submission_address),
        );
        run.env("LC_ALL", "C.UTF-8");
        let out = expect_success(&file.display().to_string(), run.output().unwrap());
        assert!(!out.is_empty(), "{}", file.display());
        ran += 1;
    }
    assert!(ran >= 10, "only {ran} examples were found");
    let started: usize = environment
        .workers
        .iter()
        .map(|w| w.started_jobs().len())
        .sum();
    assert!(started >= 50, "only {started} jobs were started");
}
