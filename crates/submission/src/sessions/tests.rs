use super::*;

#[test]
fn a_reader_receives_missed_events_and_gaps_from_the_bounded_history() {
    let mut sessions = Sessions::new(2, 3, Micros(10));
    let key = sessions.create(Micros(0), "s").unwrap();
    let mut ids = crate::ids::IdRegistry::new("n".to_owned());
    for _ in 0..5 {
        let job = ids.allocate();
        let event = SessionEvent {
            job,
            state: JobState::Queued,
            sub_state: None,
        };
        sessions.record(key, event);
    }
    let session = sessions.get(key).unwrap();
    assert_eq!(
        session.next_after(0),
        Some(NextEvent::Gap { from: 1, to: 2 })
    );
    assert!(matches!(
        session.next_after(2),
        Some(NextEvent::Event { number: 3, .. })
    ));
    assert!(matches!(
        session.next_after(4),
        Some(NextEvent::Event { number: 5, .. })
    ));
    assert_eq!(session.next_after(5), None);
    assert_eq!(session.next_after(u64::MAX), None);
}

#[test]
fn idle_sessions_expire_and_make_room() {
    let mut sessions = Sessions::new(1, 3, Micros(10));
    let key = sessions.create(Micros(0), "s").unwrap();
    assert!(sessions.create(Micros(0), "s").is_err());
    sessions.get_mut(key).unwrap().readers.push(1);
    sessions.update_idle(Micros(5), key);
    assert!(sessions.create(Micros(5), "t").is_err());
    sessions.expire(Micros(20));
    assert_eq!(sessions.len(), 1);
    sessions.get_mut(key).unwrap().readers.clear();
    sessions.update_idle(Micros(30), key);
    sessions.expire(Micros(39));
    assert_eq!(sessions.len(), 1);
    sessions.expire(Micros(40));
    assert_eq!(sessions.len(), 0);
    assert!(sessions.create(Micros(41), "t").is_ok());
    // At the limit, the idle session is removed to make room.
    assert!(sessions.create(Micros(42), "u").is_ok());
    assert_eq!(sessions.names(), ["u"]);
}
