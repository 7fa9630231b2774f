//! The conformance suite of the submission front: a table of clauses of DRMAA's specifications, each with what is
//! expected and a test against a running node between stand-ins. A clause without a test counts as failed; one that asks
//! for what the node does not have is not applicable only where the capabilities say so, which its test checks.
#![forbid(unsafe_code)]

mod v1;
mod v2;

use marbledeck_submission_client::{Client, Settings, Template};
use marbledeck_test_support::{EnvironmentOptions, JobBehaviour, TestEnvironment};
use std::fmt::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// How a clause fares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The node does what the clause asks for.
    Passed,
    /// It does not, or nothing shows that it does.
    Failed(String),
    /// The clause is about something optional that the node declares absent.
    NotApplicable,
}

/// Tests a clause: true where it holds, false where the node says by a capability that it has no such thing. A panic is
/// a failure.
pub type Test = fn(&World) -> bool;

/// One clause.
pub struct Clause {
    /// The specification's number and its section.
    pub section: &'static str,
    /// What is expected.
    pub expected: &'static str,
    pub test: Option<Test>,
}

/// A node between stand-ins, and who speaks to it.
pub struct World {
    pub lab: TestEnvironment,
    pub client: Client,
}

impl World {
    /// Starts a node with three workers. `/slow...` runs for four seconds, `/fail...` fails, `/returned...` is handed
    /// back once; all else is made in a few milliseconds.
    pub fn start() -> Self {
        let lab = TestEnvironment::start(EnvironmentOptions {
            submission_keys: "history = 64\nretain_s = 600\nmax_sessions = 120".to_owned(),
            ..EnvironmentOptions::default()
        });
        for worker in &lab.workers {
            worker.set_behaviour(|job| {
                let ms = Duration::from_millis;
                match job.target.as_str() {
                    target if target.starts_with("/slow") => {
                        JobBehaviour::Serve(ms(4000), "late".to_owned())
                    }
                    target if target.starts_with("/fail") => JobBehaviour::Fail(ms(5)),
                    target => JobBehaviour::Serve(ms(5), format!("made {target}")),
                }
            });
        }
        let client = Client::new(Settings::new(lab.submission_address.clone()));
        World { lab, client }
    }

    /// A template of the class that is harmless to repeat.
    pub fn preview(&self, command: &str) -> Template {
        Template {
            remote_command: command.to_owned(),
            job_category: "preview".to_owned(),
            accounting_id: Some("au".to_owned()),
            ..Template::default()
        }
    }

    /// A held job of this session.
    pub fn held(&self, command: &str, session: Option<&str>) -> String {
        let template = Template {
            submit_as_hold: true,
            ..self.preview(command)
        };
        let job = self.client.run_job(template, session);
        job.expect("a held job is taken").job_id
    }

    /// A job that has ended.
    pub fn ended(&self, command: &str) -> String {
        let job = self
            .client
            .run_job(self.preview(command), None)
            .expect("taken")
            .job_id;
        let ended = self.client.wait_terminated(&job, PATIENCE);
        ended.expect("it ends");
        job
    }

    /// A job that runs.
    pub fn running(&self) -> String {
        let job = self
            .client
            .run_job(self.preview("/slow"), None)
            .expect("taken")
            .job_id;
        let started = self.client.wait_started(&job, PATIENCE);
        assert_eq!(
            started.expect("it runs").job_state,
            marbledeck_submission_client::JobState::Running
        );
        job
    }
}

/// Far longer than anything takes.
pub const PATIENCE: Option<Duration> = Some(Duration::from_secs(30));

/// All clauses, in the order of their sections.
pub fn clauses() -> Vec<Clause> {
    let mut clauses = v2::clauses();
    clauses.extend(v1::clauses());
    clauses
}

/// Runs all clauses against one node.
pub fn run() -> Vec<(Clause, Verdict)> {
    let world = World::start();
    let mut table = Vec::new();
    for clause in clauses() {
        let verdict = match clause.test {
            None => Verdict::Failed("there is no test".to_owned()),
            Some(test) => match catch_unwind(AssertUnwindSafe(|| test(&world))) {
                Ok(true) => Verdict::Passed,
                Ok(false) => Verdict::NotApplicable,
                Err(what) => {
                    let text = what.downcast_ref::<String>().cloned();
                    let text = text.or(what.downcast_ref::<&str>().map(|t| (*t).to_owned()));
                    Verdict::Failed(text.unwrap_or_default())
                }
            },
        };
        table.push((clause, verdict));
    }
    table
}

/// The table as Markdown, with the sums of each section at its head.
pub fn report(table: &[(Clause, Verdict)]) -> String {
    let mut text = String::from(
        "# Conformance of the submission front\n\n\
         Written by `make conformance`, which runs each clause against a node between stand-ins. GFD.231 is DRMAA v2,\n\
         tested over the wire; GFD.133 is DRMAA 1.0, tested through `libdrmaa.so`. What is not applicable is optional in\n\
         the specification, and the node's capabilities declare it absent. The words are this project's own; the\n\
         sections are the specifications'.\n\n",
    );
    let mut sums: Vec<(&str, [usize; 3])> = Vec::new();
    for (clause, verdict) in table {
        let which = match verdict {
            Verdict::Passed => 0,
            Verdict::Failed(_) => 1,
            Verdict::NotApplicable => 2,
        };
        match sums
            .iter_mut()
            .find(|(section, _)| *section == clause.section)
        {
            Some((_, sum)) => sum[which] += 1,
            None => {
                let mut sum = [0; 3];
                sum[which] = 1;
                sums.push((clause.section, sum));
            }
        }
    }
    text += "| section | passed | failed | not applicable |\n| --- | --- | --- | --- |\n";
    let mut all = [0; 3];
    for (section, sum) in &sums {
        let [passed, failed, none] = sum;
        let _ = writeln!(text, "| {section} | {passed} | {failed} | {none} |");
        all.iter_mut().zip(sum).for_each(|(all, one)| *all += one);
    }
    let [passed, failed, none] = all;
    let _ = writeln!(text, "| all | {passed} | {failed} | {none} |\n");
    text += "| section | expected | |\n| --- | --- | --- |\n";
    for (clause, verdict) in table {
        let verdict = match verdict {
            Verdict::Passed => "passed".to_owned(),
            Verdict::Failed(why) => format!("**failed**: {}", why.replace('\n', " ")),
            Verdict::NotApplicable => "not applicable".to_owned(),
        };
        let _ = writeln!(
            text,
            "| {} | {} | {verdict} |",
            clause.section, clause.expected
        );
    }
    text
}
