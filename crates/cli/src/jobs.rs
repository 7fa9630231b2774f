//! `marbledeck job ...`

use crate::args::{Common, JobCommand, TemplateArgs, Which};
use crate::{print, settings, Cli, Failure, Status};
use indicatif::{ProgressBar, ProgressStyle};
use marbledeck_submission_client::{
    Accepted, Bulk, Client, Error, ErrorId, Event, Filter, IndexRange, JobInfo, JobState,
    Operation, Problem, Targets, Template, WaitGoal,
};
use std::collections::HashSet;
use std::io::Read;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

pub(crate) fn carry_out(command: JobCommand) -> Result<Status, Failure> {
    match command {
        JobCommand::Run {
            template,
            wait,
            common,
        } => run(&Cli::new(&common), template, wait),
        JobCommand::Bulk {
            template,
            from,
            to,
            step,
            max_parallel,
            wait,
            common,
        } => bulk(
            &Cli::new(&common),
            template,
            IndexRange::new(from, to, step),
            max_parallel,
            wait,
        ),
        JobCommand::Info {
            jobs,
            result,
            common,
        } => info(&Cli::new(&common), &jobs, result),
        JobCommand::Wait {
            which,
            any,
            started,
            timeout,
            common,
        } => wait(&Cli::new(&common), which, any, started, timeout),
        JobCommand::List {
            session,
            state,
            name,
            class,
            tenant,
            array,
            common,
        } => {
            let filter = Filter {
                job_name: name,
                job_states: (!state.is_empty()).then_some(state),
                queue_name: class,
                accounting_id: tenant,
                job_array_id: array,
                ..Filter::default()
            };
            let cli = Cli::new(&common);
            cli.client
                .list_jobs(session.as_deref(), &filter, |info| cli.show(&info))?;
            Ok(Status::Ok)
        }
        JobCommand::Hold { which, common } => control(&Cli::new(&common), which, |targets| {
            Operation::Hold { targets }
        }),
        JobCommand::Release { which, common } => control(&Cli::new(&common), which, |targets| {
            Operation::Release { targets }
        }),
        JobCommand::Terminate { which, common } => control(&Cli::new(&common), which, |targets| {
            Operation::Terminate { targets }
        }),
        JobCommand::Reap { which, common } => control(&Cli::new(&common), which, |targets| {
            Operation::Reap { targets }
        }),
        JobCommand::Watch {
            session,
            since,
            count,
            common,
        } => watch(&common, &session, since, count),
    }
}

impl Cli {
    fn show(&self, info: &JobInfo) {
        match self.json {
            true => print::json(info),
            false => print::line(&print::job(info)),
        }
    }

    fn note(&self, text: &str) {
        if !self.quiet {
            eprintln!("{text}");
        }
    }
}

fn template(args: TemplateArgs) -> Result<(Template, Option<String>), Failure> {
    let mut template = Template {
        remote_command: args.command,
        job_category: args.class,
        accounting_id: args.tenant,
        submission_key: args.key,
        job_name: args.name,
        min_slots: args.slots,
        deadline_ms: args.deadline.map(|span| (span.as_millis() as u64).max(1)),
        deadline_time: args.until,
        start_time: args.start,
        submit_as_hold: args.hold,
        ..Template::default()
    };
    if let Some(path) = args.input {
        let read = match path.to_str() {
            Some("-") => {
                let mut bytes = Vec::new();
                std::io::stdin().read_to_end(&mut bytes).map(|_| bytes)
            }
            _ => std::fs::read(&path),
        };
        let bytes = read.map_err(|e| Failure::Here(format!("--input {}: {e}", path.display())))?;
        template.set_input(bytes);
    }
    Ok((template, args.session))
}

/// The status for a job that has ended.
fn of_end(info: &JobInfo) -> Status {
    match (info.job_state, &info.problem) {
        (JobState::Done, _) => Status::Ok,
        (_, Some(p)) if p.error == ErrorId::TryLater => Status::TryLater,
        _ => Status::Failed,
    }
}

fn run(cli: &Cli, args: TemplateArgs, wait: bool) -> Result<Status, Failure> {
    let (template, session) = template(args)?;
    let job = cli.client.run_job(template, session.as_deref())?;
    if !wait {
        match cli.json {
            true => print::json(&job),
            false => print::line(&job.job_id),
        }
        return Ok(Status::Ok);
    }
    cli.note(&job.job_id);
    let info = cli.client.wait_terminated(&job.job_id, None)?;
    if cli.json {
        print::json(&info);
    } else if let Some(result) = info.result_bytes() {
        print::bytes(&result);
    } else {
        eprintln!("{}", print::job(&info));
    }
    Ok(of_end(&info))
}

fn bulk(
    cli: &Cli,
    args: TemplateArgs,
    indices: IndexRange,
    max_parallel: Option<u32>,
    wait: bool,
) -> Result<Status, Failure> {
    let (template, session) = template(args)?;
    let bulk = cli
        .client
        .run_bulk(template, indices, max_parallel, session.as_deref())?;
    let mut worst = Status::Ok;
    let mut jobs = Vec::new();
    for job in &bulk.jobs {
        match &job.result {
            Ok(accepted) => jobs.push(accepted.clone()),
            Err(problem) => {
                let status = Status::of(&Error::Problem(problem.clone()));
                worst = worst.max(status);
                cli.refused(job.index, problem);
            }
        }
    }
    if wait {
        return Ok(worst.max(all(cli, &jobs)?));
    }
    show_bulk(cli, &bulk);
    Ok(worst)
}

impl Cli {
    fn refused(&self, index: i64, problem: &Problem) {
        if self.json {
            let mut value = serde_json::to_value(problem).unwrap_or_default();
            value["index"] = index.into();
            print::json(&value);
        } else {
            eprintln!("{index}: {:?}: {}", problem.error, problem.message);
        }
    }
}

fn show_bulk(cli: &Cli, bulk: &Bulk) {
    if !cli.json {
        cli.note(&format!("array {}", bulk.arrays.join(" ")));
    }
    for job in &bulk.jobs {
        let Ok(accepted) = &job.result else {
            continue;
        };
        if cli.json {
            let mut value = serde_json::to_value(accepted).unwrap_or_default();
            value["index"] = job.index.into();
            value["jobArrayId"] = bulk.arrays.last().cloned().into();
            print::json(&value);
        } else {
            print::line(&accepted.job_id);
        }
    }
}

/// Waits for the end of all jobs, with a bar, and shows each.
fn all(cli: &Cli, jobs: &[Accepted]) -> Result<Status, Failure> {
    let bar = match cli.quiet {
        true => ProgressBar::hidden(),
        false => ProgressBar::new(jobs.len() as u64),
    };
    let style = "{bar:30} {pos}/{len} ended, {msg}{elapsed_precise}, {eta} to go";
    if let Ok(style) = ProgressStyle::with_template(style) {
        bar.set_style(style);
    }
    let (mut worst, mut failed) = (Status::Ok, 0);
    for job in jobs {
        let info = cli.client.wait_terminated(&job.job_id, None)?;
        let status = of_end(&info);
        worst = worst.max(status);
        if status != Status::Ok {
            failed += 1;
            bar.set_message(format!("{failed} not done, "));
        }
        bar.inc(1);
        bar.suspend(|| cli.show(&info));
    }
    bar.finish_and_clear();
    cli.note(&format!("{} ended, {failed} of them not done", jobs.len()));
    Ok(worst)
}

fn info(cli: &Cli, jobs: &[String], result: bool) -> Result<Status, Failure> {
    let mut worst = Status::Ok;
    for job in jobs {
        let info = cli.client.job_info(job)?;
        match (result, info.result_bytes()) {
            (true, Some(result)) => print::bytes(&result),
            (true, None) => {
                eprintln!("{}", print::job(&info));
                worst = Status::Failed;
            }
            _ => cli.show(&info),
        }
    }
    Ok(worst)
}

fn targets(which: Which) -> Targets {
    match which {
        Which {
            array: Some(array), ..
        } => Targets::array(array),
        Which {
            session: Some(session),
            ..
        } => Targets {
            session: Some(session),
            ..Targets::default()
        },
        Which { mut jobs, .. } if jobs.len() == 1 => Targets::job(jobs.remove(0)),
        Which { jobs, .. } => Targets {
            job_ids: Some(jobs),
            ..Targets::default()
        },
    }
}

/// The ids of the jobs that are meant.
fn named(client: &Client, which: Which) -> Result<Vec<String>, Error> {
    if !which.jobs.is_empty() {
        return Ok(which.jobs);
    }
    let filter = Filter {
        job_array_id: which.array,
        ..Filter::default()
    };
    let mut jobs = Vec::new();
    client.list_jobs(which.session.as_deref(), &filter, |info| {
        jobs.push(info.job_id)
    })?;
    Ok(jobs)
}

fn wait(
    cli: &Cli,
    which: Which,
    any: bool,
    started: bool,
    timeout: Option<Duration>,
) -> Result<Status, Failure> {
    let of = |info: &JobInfo| match info.job_state.is_final() {
        true => of_end(info),
        false => Status::Ok,
    };
    if any {
        let goal = if started {
            WaitGoal::Started
        } else {
            WaitGoal::Terminated
        };
        let info = cli.client.wait_any(&targets(which), goal, timeout)?;
        cli.show(&info);
        return Ok(of(&info));
    }
    let until = timeout.map(|timeout| Instant::now() + timeout);
    let (mut worst, mut seen) = (Status::Ok, HashSet::new());
    for job in named(&cli.client, which)? {
        if !seen.insert(job.clone()) {
            continue;
        }
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        let info = match started {
            true => cli.client.wait_started(&job, left)?,
            false => cli.client.wait_terminated(&job, left)?,
        };
        cli.show(&info);
        worst = worst.max(of(&info));
    }
    Ok(worst)
}

fn control(cli: &Cli, which: Which, op: impl Fn(Targets) -> Operation) -> Result<Status, Failure> {
    let summary = cli.client.control(op(targets(which)))?;
    let (changed, refused) = (summary.changed, summary.rejected);
    if cli.json {
        print::json(&serde_json::json!({"changed": changed, "refused": refused}));
    } else {
        cli.note(&format!("{changed} changed, {refused} not"));
    }
    Ok(if refused == 0 {
        Status::Ok
    } else {
        Status::Failed
    })
}

fn watch(
    common: &Common,
    session: &str,
    since: Option<u64>,
    count: Option<u64>,
) -> Result<Status, Failure> {
    let (sender, events) = channel();
    let tell = move |event: Event| drop(sender.send(event));
    let client = Client::with_events(settings(common), Box::new(tell));
    client.open_session(session, since)?;
    let mut left = count;
    while left != Some(0) {
        let event = match events.recv_timeout(Duration::from_secs(1)) {
            Ok(event) => event,
            Err(_) => {
                // Notices a lost connection, and makes a new one.
                client.sessions()?;
                continue;
            }
        };
        match (&event, common.json) {
            (_, true) => print::json(&event),
            (
                Event::NewState {
                    number,
                    job_id,
                    job_state,
                    job_sub_state,
                    ..
                },
                false,
            ) => {
                let number = number.unwrap_or_default();
                let sub = job_sub_state.as_deref().unwrap_or_default();
                print::line(&format!("{number:>8} {job_id:<28} {job_state} {sub}"));
            }
            (Event::Gap { from, to, .. }, false) => {
                print::line(&format!("{from:>8} to {to}: no longer known"));
            }
        }
        left = left.map(|left| left - 1);
    }
    client.close();
    Ok(Status::Ok)
}
