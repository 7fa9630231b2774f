//! What the node reports of itself, as lines of a name and a number. Nothing is counted here: the core counts jobs
//! where they end and calls where they are written.

use crate::core::Core;
use std::fmt::Write;

/// The figures, and the line that ends them. `listed` workers are in the list, `avoided` of them get nothing now.
pub fn text(core: &Core, listed: usize, avoided: usize) -> String {
    let mut text = String::new();
    let counts = core.counts();
    for (name, class) in core.catalogue().names().zip(&counts.classes) {
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
        ("pool_size", listed),
        ("pool_ejected", avoided),
    ];
    for (what, number) in now {
        let _ = writeln!(text, "node_{what} {number}");
    }
    text + "--\n"
}
