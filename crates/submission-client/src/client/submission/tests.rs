//! Unit tests of bulk submission and submission keys.

use super::*;

#[test]
fn indices_are_grouped_into_as_few_ranges_as_possible() {
    let group = |indices: &[i64], step| -> Vec<(i64, i64)> {
        let ranges = group_indices(indices.iter().copied(), step);
        assert!(ranges.iter().all(|range| range.step == step));
        ranges
            .iter()
            .map(|range| (range.begin, range.end))
            .collect()
    };
    assert_eq!(group(&[1, 2, 3, 7, 8], 1), [(1, 3), (7, 8)]);
    assert_eq!(group(&[9, 7, 3], -2), [(9, 7), (3, 3)]);
    assert_eq!(group(&[], 1), []);
}

#[test]
fn a_template_without_key_gets_a_random_one() {
    let suffix = format!("-{PARAMETRIC_INDEX}");
    let random_key = || {
        with_key(Template::default(), &suffix)
            .submission_key
            .unwrap()
    };
    let first = random_key();
    assert!(first.ends_with(PARAMETRIC_INDEX));
    assert_ne!(first, random_key());
    let keyed = Template {
        submission_key: Some("mine".to_owned()),
        ..Template::default()
    };
    assert_eq!(with_key(keyed, "").submission_key.as_deref(), Some("mine"));
}
