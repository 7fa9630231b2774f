//! Ids of jobs and arrays: short numbers within, words without. The words of two starts of a node never meet, since
//! each start has a prefix of its own; what is taken over from another process keeps its words.

use std::fmt;

/// Bits of a key that count jobs; those above them say whose prefix it has.
const COUNT: u32 = 40;

/// A job or an array.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

/// The prefixes in use, this process's own first.
#[derive(Debug, Default)]
pub struct Ids {
    prefixes: Vec<String>,
    next: u64,
}

impl Ids {
    pub fn new(prefix: String) -> Self {
        Ids {
            prefixes: vec![prefix],
            next: 0,
        }
    }

    /// An id that was never used.
    pub fn fresh(&mut self) -> Key {
        let key = Key(self.next);
        self.next += 1;
        key
    }

    /// Takes the last id back, which nobody has heard of.
    pub fn take_back(&mut self, key: Key) {
        if key.0 + 1 == self.next {
            self.next = key.0;
        }
    }

    /// The word for a key.
    pub fn word(&self, key: Key) -> Word<'_> {
        let prefix = self.prefixes.get((key.0 >> COUNT) as usize);
        Word {
            prefix: prefix.map_or("", String::as_str),
            count: key.0 & ((1 << COUNT) - 1),
        }
    }

    /// The key of a word, if its prefix is in use.
    pub fn key(&self, word: &str) -> Option<Key> {
        let (prefix, count) = word.rsplit_once('-')?;
        let origin = self.prefixes.iter().position(|known| known == prefix)?;
        // Only the one way in which it is written: a job has one id.
        let plain = count == "0" || !count.starts_with('0') && !count.starts_with('+');
        let count: u64 = count.parse().ok().filter(|n| plain && *n < 1 << COUNT)?;
        Some(Key((origin as u64) << COUNT | count))
    }

    /// The same, where the prefix may be one that another process has given out.
    pub fn learn(&mut self, word: &str) -> Option<Key> {
        let (prefix, _) = word.rsplit_once('-')?;
        if !self.prefixes.iter().any(|known| known == prefix) {
            if self.prefixes.len() >> (64 - COUNT) > 0 {
                return None;
            }
            self.prefixes.push(prefix.to_owned());
        }
        let key = self.key(word)?;
        // A process that was started with the same seed has the same prefix: what it gave out is not given out again.
        if key.0 >> COUNT == 0 {
            self.next = self.next.max(key.0 + 1);
        }
        Some(key)
    }
}

/// A key as it is written.
pub struct Word<'a> {
    prefix: &'a str,
    count: u64,
}

impl fmt::Display for Word<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{}", self.prefix, self.count)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_and_keys() {
        let mut ids = Ids::new("n0-7".to_owned());
        let key = ids.fresh();
        assert_eq!(ids.word(key).to_string(), "n0-7-0");
        assert_eq!(ids.key("n0-7-0"), Some(key));
        let other = ids.learn("n0-6-3").unwrap();
        assert_eq!(ids.word(other).to_string(), "n0-6-3");
        assert_eq!(ids.learn("n0-7-5").map(|_| ids.fresh()), ids.key("n0-7-6"));
        for wrong in [
            "",
            "-",
            "n0-7-",
            "n0-7-00",
            "n0-7-+0",
            "n0-8-0",
            "n0-7-1099511627776",
        ] {
            assert_eq!(ids.key(wrong), None, "{wrong}");
        }
    }
}
