//! Scripts of events for the core, without any socket. `core/README` tells how they are written.

use marbledeck_dispatcher::{
    Micros, Outcome, RequestId, WorkerEntry, WorkerId, WorkerListKind, ZoneId,
};
use marbledeck_node::core::{
    AttemptCommand, AttemptEnd, Command, Core, FinalAnswer, NameRegistry, NewRequest, Payload,
};
use marbledeck_platform_settings::{worker_id, PlatformSettings};
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};

struct Script {
    core: Core,
    /// In the order in which they were first called: which one is drawn is not the scripts' concern.
    workers: Vec<WorkerId>,
    names: Vec<String>,
}

fn ms(word: &str) -> Micros {
    Micros(word.parse::<u64>().expect("milliseconds") * 1000)
}

fn outcome(word: &str) -> Outcome {
    match word {
        "ok" => Outcome::Served,
        "full" => Outcome::Rejected,
        "reset" => Outcome::Reset,
        "unconnected" => Outcome::ConnectFailed,
        _ => Outcome::Failed,
    }
}

impl Script {
    fn id(&self, name: &str) -> RequestId {
        let at = self.names.iter().position(|known| known == name);
        RequestId(at.expect("ordered before") as u64)
    }

    fn act(&mut self, now: Micros, words: &[&str]) {
        match words {
            ["list", workers @ ..] => {
                let entry = |name: &&str| WorkerEntry {
                    worker: worker_id(name),
                    zone: ZoneId(0),
                    ..WorkerEntry::default()
                };
                self.core.apply_worker_list(
                    now,
                    WorkerListKind::Full,
                    workers.iter().map(entry).collect(),
                );
            }
            ["order", name, class, wait] => {
                self.names.push(name.to_string());
                let request = NewRequest {
                    class,
                    tenant: Some("au"),
                    time_left: ms(wait),
                    payload: Payload {
                        transaction_id: name.to_string(),
                        key: Some("k".to_owned()),
                        ..Payload::default()
                    },
                    ..NewRequest::default()
                };
                let accepted = self.core.accept_request(now, request);
                assert_eq!(accepted, Ok(self.id(name)));
            }
            ["started", name, go] => {
                self.core
                    .handle_attempt_started(now, self.id(name), go.parse().unwrap());
            }
            ["ended", name, go, how] => {
                let end = AttemptEnd {
                    result: (*how == "ok").then(|| b"result".to_vec()),
                    ..AttemptEnd::new(outcome(how))
                };
                let go = go.parse().unwrap();
                self.core.handle_attempt_ended(now, self.id(name), go, end);
            }
            ["gone", name] => drop(self.core.handle_client_left(now, self.id(name))),
            ["settle"] => self.core.end_open_requests(now),
            ["wake"] => self.core.wake(now),
            ["idle"] => assert!(self.core.is_idle()),
            _ => panic!("no such event"),
        }
    }

    /// The commands that wait, as the scripts write them.
    fn drain_commands(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(command) = self.core.next_command() {
            let names = &self.names;
            let name = |id: RequestId| names[id.0 as usize].clone();
            lines.push(match command {
                Command::StartAttempt(AttemptCommand {
                    request: id,
                    attempt,
                    worker,
                    deadline,
                    ..
                }) => {
                    let known = self.workers.iter().position(|w| *w == worker);
                    let place = known.unwrap_or_else(|| {
                        self.workers.push(worker);
                        self.workers.len() - 1
                    });
                    format!(
                        "call {} {attempt} w{} until {}",
                        name(id),
                        place + 1,
                        deadline.0 / 1000
                    )
                }
                Command::CancelAttempt {
                    request: id,
                    attempt,
                } => format!("give up {} {attempt}", name(id)),
                Command::ProbeWorker(_) => "probe".to_owned(),
                Command::WatchWorkers => "watch".to_owned(),
                // For peers only: every end of an attempt has one.
                Command::AttemptEnded(_) => continue,
                Command::RequestRunning(id, _) => format!("running {}", name(id)),
                Command::RequestRequeued(id) => format!("requeued {}", name(id)),
                Command::Answer {
                    request: id,
                    answer,
                    last_attempt_sent_at,
                } => {
                    let answer = match answer {
                        FinalAnswer::Served(_) => "served".to_owned(),
                        FinalAnswer::Rejected(wait) => {
                            format!("rejected {:?}", wait.map(Micros::as_secs_f64))
                        }
                        FinalAnswer::Failed => "failed".to_owned(),
                    };
                    format!(
                        "{} {answer} sent {:?}",
                        name(id),
                        last_attempt_sent_at.map(|time| time.0 / 1000)
                    )
                }
            });
        }
        lines
    }
}

#[rstest]
fn script(#[files("tests/core/*.txt")] file: PathBuf) {
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    let config = fs::read_to_string(tests.join("exchanges/config.json")).unwrap();
    let config = config.replace("\"MEMBERS\"", "");
    let config: serde_json::Value = serde_json::from_str(&config).unwrap();
    let platform: PlatformSettings = serde_json::from_value(config["settings"].clone()).unwrap();
    let settings = platform.dispatcher_settings().unwrap();
    let names = NameRegistry::new(&platform, &settings);
    let mut script = Script {
        core: Core::new(settings, names, 7, Micros(0)).unwrap(),
        workers: Vec::new(),
        names: Vec::new(),
    };
    let text = fs::read_to_string(&file).unwrap();
    let mut lines = text.lines().enumerate().peekable();
    while let Some((number, line)) = lines.next() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.is_empty() || line.starts_with('#') {
            continue;
        }
        script.act(ms(words[0]), &words[1..]);
        let mut wanted = Vec::new();
        while let Some((_, line)) = lines.next_if(|(_, line)| line.starts_with('>')) {
            wanted.push(line[1..].trim().to_owned());
        }
        assert_eq!(
            script.drain_commands(),
            wanted,
            "{}:{}: {line}",
            file.display(),
            number + 1
        );
    }
}
