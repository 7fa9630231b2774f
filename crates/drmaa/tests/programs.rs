//! Programs of others against the library and a node between stand-ins: one in C, and an unchanged stock binding of
//! Python with its own examples.

use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

fn lab() -> TestEnvironment {
    let lab = TestEnvironment::start(EnvironmentOptions::default());
    for worker in &lab.workers {
        worker.set_behaviour(|job| match job.target.as_str() {
            "/slow" => JobBehaviour::Serve(Duration::from_secs(5), "late".to_owned()),
            "/failing" => JobBehaviour::Fail(Duration::from_millis(5)),
            target => JobBehaviour::Serve(Duration::from_millis(5), format!("made {target}")),
        });
    }
    lab
}

/// The library that was built with these tests.
fn library() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2);
    let mut found = folders
        .map(|folder| folder.join("libdrmaa.so"))
        .filter(|path| path.is_file());
    found.next().expect("built with these tests")
}

fn checked(what: &str, output: Output) -> String {
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(
        output.status.success(),
        "{what}: {}\n{out}\n{err}",
        output.status
    );
    out.into_owned()
}

#[test]
fn a_program_in_c() {
    let lab = lab();
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    let program = lab.folder().join("session");
    let mut cc = Command::new("cc");
    cc.args(["-std=c99", "-Wall", "-Wextra", "-Werror", "-pthread", "-o"])
        .arg(&program);
    cc.arg(tests.join("session.c")).arg(library());
    checked("cc", cc.output().expect("a C compiler"));
    let mut run = Command::new(&program);
    run.env_remove("DRMAA_CONTACT")
        .env("LD_LIBRARY_PATH", library().parent().unwrap());
    run.arg(&lab.submission_address).arg(lab.folder());
    let out = checked("session", run.output().unwrap());
    assert_eq!(out, "all steps\n");
    // Each job ran as often as it was handed in.
    let begun: Vec<String> = lab
        .workers
        .iter()
        .flat_map(|w| w.started_jobs())
        .map(|j| j.target)
        .collect();
    let of = |target: &str| begun.iter().filter(|t| *t == target).count();
    assert_eq!((of("/one"), of("/held"), of("/n/299")), (1, 1, 1));
    assert_eq!(begun.iter().filter(|t| t.starts_with("/n/")).count(), 305);
}

/// The examples that come with the binding, each as it is, but for the time that one of them sleeps between two looks.
/// `make binding` fetches the binding; MARBLEDECK_BINDING is where to.
#[test]
fn the_examples_of_a_stock_binding() {
    let Some(binding) = std::env::var_os("MARBLEDECK_BINDING").map(PathBuf::from) else {
        return eprintln!("not run: `make test` fetches the binding");
    };
    let lab = lab();
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
        run.env("DRMAA_LIBRARY_PATH", library());
        run.env(
            "DRMAA_CONTACT",
            format!("{} class=preview tenant=au", lab.submission_address),
        );
        run.env("LC_ALL", "C.UTF-8");
        let out = checked(&file.display().to_string(), run.output().unwrap());
        assert!(!out.is_empty(), "{}", file.display());
        ran += 1;
    }
    assert!(ran >= 10, "{ran} examples");
    let begun: usize = lab.workers.iter().map(|w| w.started_jobs().len()).sum();
    assert!(begun >= 50, "{begun} jobs ran");
}
