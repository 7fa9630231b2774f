//! The table of state transitions.

use marbledeck_submission::{Change, JobState};

#[test]
fn final_states_are_never_left_and_all_others_can_fail() {
    for state in JobState::ALL {
        for change in Change::ALL {
            let next = state.after(change);
            assert!(!state.is_final() || next.is_none(), "{state} {change:?}");
            if let Some(next) = next.filter(|next| !next.is_final()) {
                assert_eq!(next.after(Change::Fail), Some(JobState::Failed));
            }
        }
    }
}

#[test]
fn the_documented_table_has_every_transition() {
    let page = include_str!("../../../docs/submission.md");
    for state in JobState::ALL {
        for change in Change::ALL {
            let Some(next) = state.after(change) else {
                continue;
            };
            let row = format!(
                "| `{state}` | {} | `{next}` |",
                format!("{change:?}").to_lowercase()
            );
            assert!(page.contains(&row), "docs/submission.md lacks: {row}");
        }
    }
}
