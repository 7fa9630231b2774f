//! Output to clients: answers, session events, and notifications of state changes.

use super::client::{ClientId, OpenSession, Output};
use super::Server;
use crate::error::Problem;
use crate::frame;
use crate::ids::{IdRegistry, JobKey};
use crate::jobs::Job;
use crate::message::{Answer, Event, JobInfoAnswer, JobNotification};
use crate::sessions::{NextEvent, SessionEvent, Sessions};
use serde::Serialize;
use serde_json::Value;

impl Server {
    /// Subscribes a client to the state changes of a job.
    pub(super) fn watch(&mut self, job: JobKey, client: ClientId) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        if state.watched_jobs.insert(job) {
            self.watchers.entry(job).or_default().push(client);
        }
    }

    /// Unsubscribes a client from the state changes of a job.
    pub(super) fn unwatch(&mut self, job: JobKey, client: ClientId) {
        if let Some(watchers) = self.watchers.get_mut(&job) {
            watchers.retain(|watcher| *watcher != client);
            if watchers.is_empty() {
                self.watchers.remove(&job);
            }
        }
    }

    /// Publishes a job's new state to its session, its watchers, the waits for it and the partner process.
    pub(super) fn publish_change(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key).filter(|job| !job.is_admitting()) else {
            return;
        };
        let (has_ended, has_started) = (job.has_ended(), job.state.has_started());
        let (array, session) = (job.array, job.session);
        self.record_state(key);
        self.handover.queue_change(self.jobs.get_any(key));
        self.notify_watchers(key, has_ended);
        if has_started {
            self.satisfy_waits(key, array, session, has_ended);
        }
    }

    fn notify_watchers(&mut self, key: JobKey, has_ended: bool) {
        let watchers = if has_ended {
            self.watchers.remove(&key).unwrap_or_default()
        } else {
            self.watchers.get(&key).cloned().unwrap_or_default()
        };
        for client in watchers {
            if let Some(state) = self.clients.get_mut(&client).filter(|_| has_ended) {
                state.watched_jobs.remove(&key);
            }
            self.send(client, Output::Notification(key));
        }
    }

    /// Records a job's state in its session's history and in its array.
    pub(super) fn record_state(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let event = SessionEvent {
            job: key,
            state: job.state,
            sub_state: job.sub_state,
        };
        if let Some(array) = job.array.and_then(|array| self.arrays.get_mut(&array)) {
            array.update_member(key, event.state);
        }
        if let Some(session) = job.session {
            self.sessions.record(session, event);
            let readers = self.sessions.get(session).into_iter();
            let readers = readers.flat_map(|session| &session.readers);
            self.readable_clients.extend(readers);
        }
    }

    /// The name of a job's session.
    pub(super) fn session_name(&self, job: &Job) -> Option<&str> {
        let session = job.session.and_then(|key| self.sessions.get(key));
        session.map(|session| &*session.name)
    }

    /// Queues an answer for a client.
    pub(super) fn send_answer(&mut self, client: ClientId, seq: &Value, body: impl Serialize) {
        let line = frame::encode_line(&Answer { seq, body });
        self.send(client, Output::Line(line));
    }

    /// Queues a message for a client.
    pub(super) fn send(&mut self, client: ClientId, output: Output) {
        if let Some(state) = self.clients.get_mut(&client) {
            state.outbox.push_back(output);
            self.readable_clients.insert(client);
        }
    }

    /// Takes the next line for a client, if there is one. Job states in it are current at this call; events come after
    /// all answers.
    pub fn next_line(&mut self, client: ClientId) -> Option<Vec<u8>> {
        let line = self.next_output(client).or_else(|| self.next_event(client));
        self.queue_task(client);
        line
    }

    fn next_output(&mut self, client: ClientId) -> Option<Vec<u8>> {
        while let Some(output) = self.clients.get_mut(&client)?.outbox.pop_front() {
            if let Some(line) = self.encode_output(output) {
                return Some(line);
            }
        }
        None
    }

    /// Encodes a message; `None` for a notification of a job that is no longer visible.
    fn encode_output(&self, output: Output) -> Option<Vec<u8>> {
        match output {
            Output::Line(line) => Some(line),
            Output::JobInfo { seq, job } => Some(self.encode_job_info(&seq, job)),
            Output::Notification(job) => {
                let job = self.jobs.get(job)?;
                let info = job.info(&self.ids, self.session_name(job));
                Some(frame::encode_line(&JobNotification::new(info)))
            }
        }
    }

    fn encode_job_info(&self, seq: &Value, key: JobKey) -> Vec<u8> {
        let Some(job) = self.jobs.get(key) else {
            let body = Problem::unknown_job();
            return frame::encode_line(&Answer { seq, body });
        };
        let job_info = job.info(&self.ids, self.session_name(job));
        let body = JobInfoAnswer { job_info };
        frame::encode_line(&Answer { seq, body })
    }

    fn next_event(&mut self, client: ClientId) -> Option<Vec<u8>> {
        let state = self.clients.get_mut(&client)?;
        let event = state
            .open_sessions
            .iter_mut()
            .find_map(|open| next_session_event(open, &self.sessions, &self.ids))?;
        Some(frame::encode_line(&event))
    }
}

/// The next event of an open session for a client; advances the client's position in the session.
fn next_session_event(
    open: &mut OpenSession,
    sessions: &Sessions,
    ids: &IdRegistry,
) -> Option<Event> {
    let session = sessions.get(open.session)?;
    match session.next_after(open.last_sent)? {
        NextEvent::Gap { from, to } => {
            open.last_sent = to;
            Some(Event::Gap {
                session: session.name.clone(),
                from,
                to,
            })
        }
        NextEvent::Event { number, event } => {
            open.last_sent = number;
            Some(Event::NewState {
                session: Some(session.name.clone()),
                number: Some(number),
                job_id: ids.id(event.job).to_string(),
                job_state: event.state,
                job_sub_state: event
                    .sub_state
                    .map(|sub_state| sub_state.as_str().to_owned()),
            })
        }
    }
}
