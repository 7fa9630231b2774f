//! Runs the adapter as a process and checks its output lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_marbledeck-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The adapter may exit at a malformed line before it has read all input, so a broken pipe is ignored.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

const FACTS: &str = r#"{"balancers":1,"new-key":[1,{"a":2}],"profiles":[{"effect":"safe","promise-us":400000,
"deadline-us":6000000,"dedup-scope":"all"},{"effect":"unsafe","promise-us":800000,"deadline-us":9000000}],
"bounds":{"probes":false,"try-limit":3,"retry-after":true,"max-retry-after-us":2000000},
"family-info":{"report-x0":"free slots","tells-start":true},"stats":{"how":"pull","fields":["x0"]},
"tenants":[{"name":"a","quota-per-s":50.0,"share":1.0}]}"#;

fn attach() -> String {
    let facts = FACTS.replace('\n', "");
    format!(
        r#"{{"wall-us":1000,"schedulers":[{{"who":"scheduler_0","msgs":[["attach",5,{facts}],["topology","cached",1,[["active",0,1,0,"worker-a",null,0],["active",0,1,0,"worker-b",null,1,"more"]]]]}}]}}"#
    )
}

fn batch(now: u64, msgs: &str) -> String {
    format!(r#"{{"wall-us":{now},"schedulers":[{{"who":"scheduler_0","msgs":[{msgs}]}}]}}"#)
}

fn lines(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn a_job_is_sent_and_its_answer_is_final() {
    let input = [
        attach(),
        batch(
            2000,
            r#"["order","rq_x",0,0,9,5000000,12000,1,null,false,false,false],["unheard-of",1,{"x":[]}]"#,
        ),
        batch(
            3000,
            r#"["status-note","rq_x",0,"worker-a",1,null],["health-result","worker-a",0,100,{"x0":3,"zz":null}]"#,
        ),
        batch(
            4000,
            r#"["completed","rq_x",0,true,"worker-a",0,null,2000,null]"#,
        ),
        batch(5000, r#"["lapsed","rq_x"],["killed"]"#),
        r#"{"wall-us":6000,"schedulers":[]}"#.to_owned(),
    ];
    let output = run(&(input.join("\n") + "\n"));
    assert!(output.status.success(), "{output:?}");
    let lines = lines(&output);
    assert_eq!(lines.len(), 6);
    assert_eq!(lines[0], r#"{"schedulers":[]}"#, "no actions without a job");
    assert!(
        lines[1].contains(r#"["try","rq_x","worker-"#),
        "{}",
        lines[1]
    );
    for line in &lines[2..] {
        assert_eq!(line, r#"{"schedulers":[]}"#);
    }
}

#[test]
fn an_unsafe_job_that_may_have_run_is_lost_and_one_that_never_ran_is_pushed_back() {
    let order = |n, class| {
        format!(r#"["order","rq_{n}",{class},0,9,5000000,null,1,null,false,false,false]"#)
    };
    let ended = |n, code, attempt| {
        ["worker-a", "worker-b"].map(|worker| {
            format!(r#"["completed","rq_{n}",{code},false,"{worker}",{attempt},null,10,null]"#)
        })
    };
    for (code, expected) in [(251, r#"["lose","rq_1"]"#), (254, r#"["try","rq_1","#)] {
        let first = run(&format!(
            "{}\n{}\n",
            attach(),
            batch(1_000_000, &order(1, 1))
        ));
        let chosen = usize::from(lines(&first)[1].contains("worker-b"));
        let input = [
            attach(),
            batch(1_000_000, &order(1, 1)),
            batch(1_100_000, &ended(1, code, 0)[chosen]),
        ];
        let output = run(&(input.join("\n") + "\n"));
        assert!(lines(&output)[2].contains(expected), "{output:?}");
    }
}

#[test]
fn equal_input_gives_equal_output() {
    let mut input = attach();
    for n in 0..200 {
        let order = format!(
            r#"["order","rq_{n}",0,0,9,5000000,null,1,null,false,false,false],["wakeup",0]"#
        );
        input += &format!("\n{}", batch(2000 + n * 20000, &order));
    }
    input.push('\n');
    assert_eq!(run(&input).stdout, run(&input).stdout);
}

#[test]
fn malformed_lines_end_the_adapter_with_one_error_line() {
    let cases = [
        ("not json", "expected"),
        (r#"{"wall-us":-4,"schedulers":[]}"#, "invalid value"),
        (r#"{"schedulers":[]}"#, "wall-us"),
        (&batch(1, r#"["order","rq_x"]"#), "profile"),
        (
            &batch(1, r#"["attach",1,{"balancers":0,"profiles":[]}]"#),
            "dispatcher",
        ),
        (&batch(1, r#"["wakeup",1]"#), "before 'attach'"),
        (&batch(1, "7"), "message"),
    ];
    for (line, expected) in cases {
        let output = run(&format!("{line}\n"));
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{line}");
        assert!(output.stdout.is_empty(), "{line}");
        assert!(
            message.contains(expected) && message.contains("line 1"),
            "{line}: {message}"
        );
        assert_eq!(message.lines().count(), 1, "{message}");
    }
}

#[test]
fn the_adapter_exits_successfully_at_the_end_of_input() {
    let output = run("");
    assert!(output.status.success() && output.stdout.is_empty());
}

/// Unknown values do not end the adapter: a job with an unknown outcome may have run, and a worker in an unknown state is
/// sent nothing.
#[test]
fn unknown_values_are_handled_conservatively() {
    let list = r#"["topology","delta",2,[["resting",0,1,0,"worker-a",null,0]]],["topology","partial",3,[]]"#;
    let order = r#"["order","rq_1",1,0,9,5000000,null,1,null,false,false,false]"#;
    let end = r#"["completed","rq_1",77,false,"worker-b",0,null,10,null]"#;
    let input = [
        attach(),
        batch(2000, list),
        batch(1_000_000, order),
        batch(1_100_000, end),
    ];
    let output = run(&(input.join("\n") + "\n"));
    assert!(output.status.success(), "{output:?}");
    let lines = lines(&output);
    assert!(
        lines[2].contains(r#"["try","rq_1","worker-b""#),
        "{}",
        lines[2]
    );
    assert!(lines[3].contains(r#"["lose","rq_1"]"#), "{}", lines[3]);
}
