//! Runs scripts of events against the core, without any socket. `core/README` describes their format.

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
    /// Workers in the order of their first attempts, which numbers them, since scripts do not depend on the random
    /// choice.
    workers: Vec<WorkerId>,
    request_names: Vec<String>,
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
    fn request_id(&self, name: &str) -> RequestId {
        let position = self.request_names.iter().position(|known| known == name);
        RequestId(position.expect("the script has ordered the request") as u64)
    }

    fn apply_event(&mut self, now: Micros, words: &[&str]) {
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
                self.request_names.push(name.to_string());
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
                assert_eq!(accepted, Ok(self.request_id(name)));
            }
            ["started", name, attempt] => {
                self.core.handle_attempt_started(
                    now,
                    self.request_id(name),
                    attempt.parse().unwrap(),
                );
            }
            ["ended", name, attempt, result] => {
                let end = AttemptEnd {
                    result: (*result == "ok").then(|| b"result".to_vec()),
                    ..AttemptEnd::new(outcome(result))
                };
                let attempt = attempt.parse().unwrap();
                self.core
                    .handle_attempt_ended(now, self.request_id(name), attempt, end);
            }
            ["gone", name] => drop(self.core.handle_client_left(now, self.request_id(name))),
            ["settle"] => self.core.end_open_requests(now),
            ["wake"] => self.core.wake(now),
            ["no-timer"] => assert_eq!(self.core.next_wake(), None),
            ["idle"] => assert!(self.core.is_idle()),
            _ => panic!("unknown event: {words:?}"),
        }
    }

    /// Drains the core's commands, in the notation of the scripts.
    fn drain_commands(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(command) = self.core.next_command() {
            let names = &self.request_names;
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
                    let index = known.unwrap_or_else(|| {
                        self.workers.push(worker);
                        self.workers.len() - 1
                    });
                    format!(
                        "call {} {attempt} w{} until {}",
                        name(id),
                        index + 1,
                        deadline.0 / 1000
                    )
                }
                Command::CancelAttempt {
                    request: id,
                    attempt,
                } => format!("give up {} {attempt}", name(id)),
                Command::ProbeWorker(_) => "probe".to_owned(),
                Command::WatchWorkers => "watch".to_owned(),
                // Meant for peers only; every end of an attempt has one.
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
        request_names: Vec::new(),
    };
    let text = fs::read_to_string(&file).unwrap();
    let mut lines = text.lines().enumerate().peekable();
    while let Some((number, line)) = lines.next() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.is_empty() || line.starts_with('#') {
            continue;
        }
        script.apply_event(ms(words[0]), &words[1..]);
        let mut expected = Vec::new();
        while let Some((_, line)) = lines.next_if(|(_, line)| line.starts_with('>')) {
            expected.push(line[1..].trim().to_owned());
        }
        assert_eq!(
            script.drain_commands(),
            expected,
            "{}:{}: {line}",
            file.display(),
            number + 1
        );
    }
}
