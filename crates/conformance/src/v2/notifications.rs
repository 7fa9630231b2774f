//! Clauses of section 8.3: notification of new job states.

use super::support::{
    clause, create_session, has_capability, submit_bulk, wait_until_done, EventReader,
    SubmittedBulk,
};
use crate::{Clause, Outcome, World};
use marbledeck_submission_client::{Event, JobState};

/// The clauses of these sections, in their order.
pub(super) fn clauses() -> Vec<Clause> {
    vec![
        clause(
            "GFD.231, 8.3",
            "Every new state is told to who has the session open",
            new_states_are_notified,
        ),
        clause(
            "GFD.231, 8.3",
            "States that were missed are told later, or named as missed",
            missed_states_are_replayed_or_named,
        ),
    ]
}

fn new_states_are_notified(world: &World) -> Outcome {
    assert!(has_capability(world, "CALLBACK"));
    let reader = EventReader::connect(world);
    reader.client.create_or_open_session("c9", None).unwrap();
    let job = world
        .client
        .run_job(world.preview("/x"), Some("c9"))
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
            gap => panic!("{gap:?}"),
        }
    }
    assert_eq!(
        states,
        [JobState::Queued, JobState::Running, JobState::Done]
    );
    Outcome::Holds
}

fn missed_states_are_replayed_or_named(world: &World) -> Outcome {
    create_session(world, "c10");
    let SubmittedBulk { job_ids, .. } = submit_bulk(world, "/x", 40, Some(4), Some("c10"));
    job_ids
        .iter()
        .for_each(|id| drop(wait_until_done(world, id)));
    let reader = EventReader::connect(world);
    let last = reader.client.open_session("c10", Some(0)).unwrap();
    let Event::Gap { from, to, .. } = reader.next_event() else {
        panic!("the history is shorter than what has happened");
    };
    assert_eq!((from, to), (1, last - 64));
    for number in to + 1..=last {
        let event = reader.next_event();
        let Event::NewState {
            number: event_number,
            ..
        } = event
        else {
            panic!("{event:?}");
        };
        assert_eq!(event_number, Some(number));
    }
    Outcome::Holds
}
