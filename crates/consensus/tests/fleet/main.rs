//! Simulation of a fleet in virtual time: voters are killed, cut off and run out of disk space; nodes are paused and
//! restarted, and their clocks run at different rates. The checks look at every node at every step. A failure prints its
//! seed.

mod changes;
mod simulation;

use changes::{put, rates, request_random_change, run_with_faults, seeds};
use marbledeck_consensus::wire::ReadResponse;
use marbledeck_consensus::{
    Change, Command, LeasedReader, Operation, OutgoingMessage, PersistedState, ReadTicket,
    RecordValidity, Voter,
};
use marbledeck_dispatcher::Micros;
use marbledeck_licensing::LicenceId;
use simulation::{
    no_faults, Faults, Node, Simulation, VoterSlot, ALL_FAULTS, LONGEST_RUN_US, STEP_US, TERMS,
};

#[test]
fn no_two_versions_are_active_for_longer_than_the_maximum_overlap() {
    let (mut changes_applied, mut grants) = (0, 0);
    for seed in seeds() {
        println!("seed {seed}");
        let sim = run_with_faults(seed, 30, 40);
        changes_applied += sim.changes_applied;
        grants += sim.grants;
    }
    // Otherwise the simulations tested nothing.
    assert!(
        changes_applied >= 24 && grants >= 24 * 20,
        "{changes_applied} changes, {grants} grants"
    );
}

#[test]
fn a_fleet_of_300_nodes_under_faults() {
    let sim = run_with_faults(7, 300, 20);
    assert!(sim.changes_applied > 3, "{} changes", sim.changes_applied);
    // Voters serve so many reads because each sends at most one read index request per tick for all of them.
    assert!(
        sim.reads_sent > 300 * 15 * 3,
        "{} read requests",
        sim.reads_sent
    );
}

#[test]
fn without_a_quorum_leases_expire_and_no_seats_are_granted() {
    let mut sim = Simulation::new(3, 3, 6);
    sim.run(6_000_000, no_faults(), request_random_change);
    // Elections take random times, so the test begins once every node has a lease.
    let all_have_leases = |sim: &Simulation| {
        let mut nodes = sim.nodes.iter();
        nodes.all(|node| node.reader.has_lease(node.local_time(sim.time)))
    };
    while !all_have_leases(&sim) && sim.time < 16_000_000 {
        let time = sim.time;
        sim.run(time + 100_000, no_faults(), |_| {});
    }
    assert!(all_have_leases(&sim));
    for v in [0, 1] {
        sim.slots[v].voter = None;
    }
    let grants_before = sim.grants;
    let killed_at = sim.time;
    // No killed voter may be restarted before the leases expire.
    let without_restarts = Faults {
        restart_voter: 0.0,
        ..no_faults()
    };
    sim.run(killed_at + 1_200_000, without_restarts, |_| {});
    let grants = sim.grants;
    for node in &mut sim.nodes {
        let now = node.local_time(sim.time);
        assert!(!node.reader.has_lease(now));
        assert!(matches!(
            node.reader.validity(now, "settings/rates"),
            RecordValidity::Unconfirmed { .. } | RecordValidity::Unknown
        ));
        assert!(node.allocator.acquire(now, &[LicenceId(0)], 0).is_err());
    }
    assert!(grants > 0 || grants_before > 0);
    // With a quorum again, restarted from its persisted state, all nodes get leases again.
    for v in [0, 1] {
        let persisted = sim.slots[v].disk.persisted.clone();
        sim.slots[v].incarnation += 1;
        sim.slots[v].voter =
            Some(Voter::new(v as u64 + 1, &[1, 2, 3], 9, &persisted).expect("a voter"));
    }
    let has_leader = |sim: &Simulation| {
        let mut voters = sim.slots.iter().filter_map(|slot| slot.voter.as_ref());
        voters.any(Voter::is_leader)
    };
    let restarted_at = sim.time;
    while !has_leader(&sim) && sim.time < restarted_at + 10_000_000 {
        let time = sim.time;
        sim.run(time + 100_000, no_faults(), |_| {});
    }
    let time = sim.time;
    sim.run(time + 2_000_000, no_faults(), |_| {});
    assert!(
        all_have_leases(&sim),
        "a node has no lease two seconds after the election"
    );
}

#[test]
fn seats_of_a_dead_node_are_freed_only_after_its_attempts() {
    let mut sim = Simulation::new(5, 3, 4);
    sim.run(8_000_000, no_faults(), request_random_change);
    sim.run(14_000_000, no_faults(), |_| {});
    let held = |sim: &Simulation, n: u32| -> u32 {
        let state = sim.newest_state().expect("a voter");
        state
            .seats()
            .held_by(n, 1)
            .iter()
            .map(|held| held.seats)
            .sum()
    };
    let n = (0..4).max_by_key(|n| held(&sim, *n)).expect("four nodes");
    assert!(held(&sim, n) > 0, "no node holds a seat");
    let taken = sim.newest_state().expect("a voter").seats().taken("codec");
    sim.nodes[n as usize].up = false;
    let died = sim.time;
    while held(&sim, n) > 0 {
        let time = sim.time;
        sim.run(time + STEP_US, no_faults(), |_| {});
        assert!(
            sim.time < died + 10_000_000,
            "its seats were never reclaimed"
        );
    }
    // Reclaimed seats drain before they are free.
    assert!(
        sim.newest_state()
            .expect("a voter")
            .seats()
            .draining()
            .count()
            > 0
    );
    let reclaimed = sim.time;
    while sim
        .newest_state()
        .expect("a voter")
        .seats()
        .draining()
        .count()
        > 0
    {
        let time = sim.time;
        sim.run(time + STEP_US, no_faults(), |_| {});
        assert!(
            sim.time < reclaimed + 10_000_000,
            "its seats were never freed"
        );
    }
    assert!(
        sim.time - reclaimed >= TERMS.max_overlap().0 + LONGEST_RUN_US,
        "its seats were freed after {} us",
        sim.time - reclaimed
    );
    assert!(taken > 0);
}

/// A voter sends votes and acknowledgements only after the state behind them is durable, and nothing while its disk is
/// full.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn no_message_is_sent_before_its_state_is_durable() {
    let ids = [1, 2, 3];
    let mut a = Voter::new(1, &ids, 1, &PersistedState::default()).expect("a voter");
    let mut b = Voter::new(2, &ids, 1, &PersistedState::default()).expect("a voter");
    let mut held_back = 0;
    // a starts an election; b must not send its vote before the vote is persisted.
    let mut to_b = Vec::new();
    for _ in 0..40 {
        a.tick();
        let effects = a.poll_effects();
        effects
            .persist_requests
            .iter()
            .for_each(|request| a.handle_persisted(request.ticket));
        to_b.extend(effects.messages);
        to_b.extend(a.poll_effects().messages);
        for OutgoingMessage { to, bytes } in to_b.drain(..).filter(|message| message.to == 2) {
            assert_eq!(to, 2);
            b.handle_message(1, &bytes).expect("a's message");
        }
        let effects = b.poll_effects();
        let tickets: Vec<u64> = effects
            .persist_requests
            .iter()
            .map(|request| request.ticket)
            .collect();
        let needs_persisting = effects
            .persist_requests
            .iter()
            .any(|request| request.hard_state.is_some() || !request.entries.is_empty());
        let early: Vec<_> = effects.messages.clone();
        if needs_persisting {
            held_back += 1;
            assert!(
                early.is_empty(),
                "b has sent a message before its state was durable"
            );
        }
        tickets
            .iter()
            .for_each(|ticket| b.handle_persisted(*ticket));
        for OutgoingMessage { bytes, .. } in early
            .into_iter()
            .chain(b.poll_effects().messages)
            .filter(|message| message.to == 1)
        {
            a.handle_message(2, &bytes).expect("b's message");
        }
    }
    assert!(
        held_back > 0 && a.is_leader(),
        "{held_back} rounds with a persist request"
    );
    // From now on a's disk is full: a does not act as the leader and sends nothing until a write succeeds.
    a.suspend();
    let mut last = 0;
    for _ in 0..20 {
        a.tick();
        let effects = a.poll_effects();
        assert!(
            effects.messages.is_empty() && !a.is_leader(),
            "a leads or sends messages with a full disk"
        );
        last = effects
            .persist_requests
            .last()
            .map_or(last, |request| request.ticket);
    }
    a.propose(&Command {
        node: 1,
        incarnation: 1,
        number: 1,
        operation: Operation::Change(Change::default()),
    });
    let requests = a.poll_effects().persist_requests;
    a.handle_persisted(requests.last().map_or(last, |request| request.ticket));
    a.tick();
    a.tick();
    assert!(
        !a.poll_effects().messages.is_empty(),
        "a sends nothing after its disk has recovered"
    );
}

/// A leader whose disk is full loses the leadership, and changes are applied without it. It catches up once the disk has
/// free space.
#[test]
fn a_leader_with_a_full_disk_is_replaced() {
    let mut sim = Simulation::new(11, 3, 6);
    sim.run(6_000_000, no_faults(), request_random_change);
    let leader = sim
        .slots
        .iter()
        .position(|slot| slot.voter.as_ref().is_some_and(Voter::is_leader))
        .expect("a leader");
    sim.slots[leader].disk.full = true;
    let changes_before = sim.changes_applied;
    // Each round of recoveries may free the disk, so it is filled again before every run.
    while sim.time < 14_000_000 {
        let time = sim.time;
        sim.slots[leader].disk.full = true;
        sim.run(time + 500_000, no_faults(), request_random_change);
    }
    assert!(
        sim.changes_applied > changes_before,
        "no change was applied without it"
    );
    let revision = sim.newest_state().expect("a voter").revision();
    sim.slots[leader].disk.full = false;
    sim.run(20_000_000, no_faults(), |_| {});
    let own_revision = sim.slots[leader]
        .voter
        .as_ref()
        .expect("it runs")
        .state()
        .revision();
    assert!(
        own_revision >= revision,
        "it did not catch up: revision {own_revision} of {revision}"
    );
}

/// A response of an earlier revision, or to another request, is rejected and renews no lease.
#[test]
fn a_reader_rejects_outdated_responses() {
    let mut reader = LeasedReader::new(TERMS);
    let first = reader.begin_read(Micros(0)).request_id;
    let second = reader.begin_read(Micros(10)).request_id;
    let response = |request_id, revision| ReadResponse {
        request_id,
        revision,
        ..ReadResponse::default()
    };
    assert!(!reader.apply_response(Micros(20), &response(first, 5)));
    assert!(reader.apply_response(Micros(20), &response(second, 5)));
    let ReadTicket {
        request_id: third,
        known_revision,
    } = reader.begin_read(Micros(500_000));
    assert_eq!(known_revision, 5);
    assert!(!reader.apply_response(Micros(500_010), &response(third, 4)));
    assert_eq!(reader.lease_expiry(), Micros(1_000_010));
    // The lease counts from the request, however late the response is.
    assert!(reader.apply_response(Micros(900_000), &response(third, 6)));
    assert_eq!(reader.lease_expiry(), Micros(1_500_000));
}

/// Prints the figures of `docs/benchmarks.md`; not a test. Run: `cargo test --release -p marbledeck-consensus --test fleet
/// figures -- --ignored --nocapture`.
#[test]
#[ignore = "prints benchmark figures"]
#[expect(clippy::too_many_lines, reason = "one section per figure")]
fn benchmark_figures() {
    for nodes in [10, 100, 300] {
        let mut sim = Simulation::new(1, 5, nodes);
        sim.run(6_000_000, no_faults(), request_random_change);
        let (messages_before, reads_before) = (sim.messages_sent.clone(), sim.reads_sent);
        let is_leader = |slot: &VoterSlot| slot.voter.as_ref().is_some_and(Voter::is_leader);
        let leader = 1 + sim.slots.iter().position(is_leader).expect("a leader") as u64;
        sim.run(16_000_000, no_faults(), |_| {});
        let messages_after = sim.messages_sent.clone();
        let rate = |id: u64| {
            (messages_after.get(&id).unwrap_or(&0) - messages_before.get(&id).unwrap_or(&0)) as f64
                / 10.0
        };
        let follower_rate: f64 = (1..=5).filter(|v| *v != leader).map(rate).sum::<f64>() / 4.0;
        let read_rate = (sim.reads_sent - reads_before) as f64 / 10.0 / nodes as f64;
        // The time from a change to when the last node acts on it.
        let version = sim
            .newest_state()
            .expect("a voter")
            .version("settings/rates");
        let changed_at = sim.time;
        sim.request_change(
            0,
            put(
                &[("settings/rates", version)],
                vec![("settings/rates", rates(1.0))],
                &[],
            ),
        );
        let is_active = |node: &Node, now| match node.reader.validity(now, "settings/rates") {
            RecordValidity::Active(record) => record.version > version,
            _ => false,
        };
        while !sim
            .nodes
            .iter()
            .all(|node| is_active(node, node.local_time(sim.time)))
        {
            let time = sim.time;
            sim.run(time + STEP_US, no_faults(), |_| {});
        }
        println!(
            "{nodes} nodes: the leader sends {:.0} messages a second, each other voter {follower_rate:.0}, \
             each node {read_rate:.1} read requests; all nodes act on a change after {} ms",
            rate(leader),
            (sim.time - changed_at) / 1000
        );
    }
    for (name, shifting_demand) in [("even", false), ("shifting", true)] {
        let mut sim = Simulation::new(2, 5, 30);
        sim.shifting_demand = shifting_demand;
        sim.run(10_000_000, no_faults(), request_random_change);
        sim.used_seat_steps = 0;
        sim.run(70_000_000, no_faults(), |_| {});
        let steps = 60_000_000 / STEP_US;
        println!(
            "pool of 20, {name} demand of 30 nodes: {:.2} of the seats in use",
            sim.used_seat_steps as f64 / steps as f64 / 20.0
        );
    }
    let mut longest_overlap = i64::MIN;
    for seed in 1..=10 {
        let mut sim = Simulation::new(seed, 5, 30);
        sim.run(40_000_000, ALL_FAULTS, request_random_change);
        longest_overlap = longest_overlap.max(sim.active_periods.longest_overlap("settings/rates"));
    }
    println!(
        "longest overlap of two versions over 10 seeds: {} ms of {} allowed",
        longest_overlap / 1000,
        TERMS.max_overlap().0 / 1000
    );
}
