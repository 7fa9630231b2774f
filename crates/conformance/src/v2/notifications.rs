//! Clauses of section 8.3: notification of new job states.

use super::support::{
    clause, create_session, has_capability, submit_bulk, wait_until_ended, EventReader,
    SubmittedBulk,
};
use crate::{Clause, Fixture, Outcome};
use marbledeck_submission_client::{Event, JobState};

/// The clauses of this module, in the order of their sections.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.3",
            "Every state change is reported to the submitters that have the session open",
            new_states_are_notified,
        ),
        clause(
            "GFD.231, 8.3",
            "Missed state changes are reported later, or reported as missed",
            missed_states_are_replayed_or_named,
        ),
    ]
}

fn new_states_are_notified(fixture: &Fixture) -> Outcome {
    assert!(has_capability(fixture, "CALLBACK"));
    let reader = EventReader::new(fixture);
    reader.client.create_or_open_session("c9", None).unwrap();
    let job = fixture
        .client
        .run_job(fixture.preview_template("/x"), Some("c9"))
        .unwrap();
    let mut states = Vec::new();
    while states.last() != Some(&JobState::Done) {
        match reader.next_event() {
            Event::NewState {
                job_id, job_state, ..
            } => {
                assert_eq!(job_id, job.job_id);
                states.push(job_state);
            }
            gap => panic!("unexpected event: {gap:?}"),
        }
    }
    assert_eq!(
        states,
        [JobState::Queued, JobState::Running, JobState::Done]
    );
    Outcome::Holds
}

fn missed_states_are_replayed_or_named(fixture: &Fixture) -> Outcome {
    create_session(fixture, "c10");
    let SubmittedBulk { job_ids, .. } = submit_bulk(fixture, "/x", 40, Some(4), Some("c10"));
    job_ids
        .iter()
        .for_each(|id| drop(wait_until_ended(fixture, id)));
    let reader = EventReader::new(fixture);
    let last = reader.client.open_session("c10", Some(0)).unwrap();
    let Event::Gap { from, to, .. } = reader.next_event() else {
        panic!("expected a gap: the session had more events than its history can hold");
    };
    assert_eq!((from, to), (1, last - 64));
    for number in to + 1..=last {
        let event = reader.next_event();
        let Event::NewState {
            number: event_number,
            ..
        } = event
        else {
            panic!("unexpected event: {event:?}");
        };
        assert_eq!(event_number, Some(number));
    }
    Outcome::Holds
}
