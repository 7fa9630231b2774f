//! The format of exchange files: repeated lines, and patterns of expected text.

use std::collections::HashMap;

/// Returns the lines with their numbers, and repeats those of a `repeat` block with `{n}` counted from 1.
pub fn unroll(text: &str) -> Vec<(usize, String)> {
    let (mut lines, mut block, mut repetitions) = (Vec::new(), Vec::new(), 0);
    for (number, line) in text.lines().enumerate() {
        match line.strip_prefix("repeat ") {
            Some(count) => repetitions = count.parse().unwrap(),
            None if line == "end" => {
                for n in 1..=std::mem::take(&mut repetitions) {
                    let filled = block
                        .iter()
                        .map(|(i, l): &(usize, &str)| (*i, l.replace("{n}", &n.to_string())));
                    lines.extend(filled);
                }
                block.clear();
            }
            None if repetitions > 0 => block.push((number, line)),
            None => lines.push((number, line.to_owned())),
        }
    }
    lines
}

/// Matches a pattern against the start of `text`; `<name>` in it matches all bytes up to the text that follows it.
/// Returns the length of the match and the values of the names.
pub fn match_start(pattern: &str, text: &str) -> Option<(usize, HashMap<String, String>)> {
    let (mut used, mut values) = (0, HashMap::new());
    let mut parts = pattern.split('<');
    let first = parts.next().unwrap();
    text.starts_with(first).then(|| used += first.len())?;
    for part in parts {
        let (name, literal) = part.split_once('>').expect("a name ends with `>`");
        let end = text[used..].find(literal)?;
        values.insert(name.to_owned(), text[used..used + end].to_owned());
        used += end + literal.len();
    }
    Some((used, values))
}
