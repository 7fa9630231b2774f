//! What the node reports of itself, as lines of a name and a number. Nothing is counted here: the core counts jobs
//! where they end and calls where they are written.

use crate::core::Core;
use crate::fleet::FleetCounts;
use marbledeck_dispatcher::WorkerState;
use marbledeck_membership::WorkerView;
use std::fmt::Write;

/// Each worker in a line: in or out, where it is, why, and what each source says and how many seconds ago it did. As
/// much as fits an answer; the last line tells how many there are.
pub fn members(views: &[WorkerView]) -> String {
    const MOST: usize = 120 * 1024;
    let (mut text, mut shown) = (String::new(), 0);
    for view in views {
        if text.len() > MOST {
            break;
        }
        let word = match view.state {
            WorkerState::Ready => "in",
            WorkerState::Draining => "out",
            WorkerState::Removed => "gone",
        };
        let addr = view.address.map_or("-".to_owned(), |addr| addr.to_string());
        let _ = write!(text, "{} {word} {addr} ({})", view.id, view.reason);
        for report in &view.reports {
            let (source, status) = (&report.source, report.status);
            let _ = write!(text, "; {source}: {status}, {} s", report.age.0 / 1_000_000);
        }
        text.push('\n');
        shown += 1;
    }
    let _ = writeln!(text, "-- {shown} of {}", views.len());
    text
}

/// The figures, and the line that ends them.
pub fn text(core: &Core, fleet: FleetCounts) -> String {
    let mut text = String::new();
    let counts = core.counts();
    for (name, class) in core.names().class_names().zip(&counts.classes) {
        let totals = [
            ("ok", class.served),
            ("shed", class.rejected),
            ("errors", class.failed),
            ("tries", class.written),
        ];
        for (what, total) in totals {
            let _ = writeln!(text, "node_{what}_total{{kind={name:?}}} {total}");
        }
    }
    let now = [
        ("active", core.unanswered()),
        ("pool_size", fleet.listed),
        ("pool_ejected", fleet.avoided),
    ];
    for (what, number) in now {
        let _ = writeln!(text, "node_{what} {number}");
    }
    text + "--\n"
}
