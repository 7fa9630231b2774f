//! Reads a registry's answer as it comes: JSON or XML, plain or gzip.

use crate::instance::{from_json, from_xml};
use crate::json::Found;
use crate::{json, xml, Instance};
use flate2::write::GzDecoder;
use std::fmt;
use std::io::Write;

/// The most bytes of an answer, unpacked: four times what 10,000 instances take.
const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// The most bytes of an instance.
const MAX_INSTANCE: usize = 64 * 1024;
/// The most instances of an answer.
const MAX_INSTANCES: usize = 65_536;

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    TooDeep,
    TooLong,
    TooMany,
    /// It ended before it was whole.
    Cut,
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::TooDeep => f.write_str("nested too deep"),
            Fault::TooLong => f.write_str("too long"),
            Fault::TooMany => f.write_str("too many instances"),
            Fault::Cut => f.write_str("cut short"),
            Fault::Malformed(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Fault {}

/// How an answer is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Json,
    Xml,
}

/// How it is packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    Plain,
    Gzip,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    Instance(Box<Instance>),
    /// The code of all that the registry holds.
    Hash(String),
}

enum Splitter {
    Json(json::Splitter),
    Xml(xml::Splitter),
}

/// Reads one answer.
pub struct Reader {
    splitter: Splitter,
    gzip: Option<GzDecoder<Vec<u8>>>,
    bytes: usize,
    instances: usize,
}

impl Reader {
    pub fn new(form: Form, encoding: Encoding) -> Self {
        Reader {
            splitter: match form {
                Form::Json => Splitter::Json(json::Splitter::default()),
                Form::Xml => Splitter::Xml(xml::Splitter::default()),
            },
            gzip: (encoding == Encoding::Gzip).then(|| GzDecoder::new(Vec::new())),
            bytes: 0,
            instances: 0,
        }
    }

    /// Takes the bytes that have come; tells the parts that end in them.
    ///
    /// # Errors
    /// What is wrong with the answer: nothing more is to be pushed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Item>, Fault> {
        let Some(gzip) = &mut self.gzip else {
            return self.plain(bytes);
        };
        let mut items = Vec::new();
        // A little at a time: a few bytes may stand for a thousand times as many.
        let mut pieces = Vec::new();
        for piece in bytes.chunks(512) {
            let wrote = gzip.write_all(piece);
            wrote.map_err(|e| Fault::Malformed(format!("gzip: {e}")))?;
            pieces.push(std::mem::take(gzip.get_mut()));
            let unpacked: usize = pieces.iter().map(Vec::len).sum();
            if self.bytes + unpacked > MAX_ANSWER {
                return Err(Fault::TooLong);
            }
        }
        for piece in pieces {
            items.extend(self.plain(&piece)?);
        }
        Ok(items)
    }

    fn plain(&mut self, bytes: &[u8]) -> Result<Vec<Item>, Fault> {
        self.bytes += bytes.len();
        if self.bytes > MAX_ANSWER {
            return Err(Fault::TooLong);
        }
        let mut parts = Vec::new();
        let found = |part: Found| parts.push(part);
        match &mut self.splitter {
            Splitter::Json(splitter) => splitter.push(bytes, MAX_INSTANCE, found)?,
            Splitter::Xml(splitter) => splitter.push(bytes, MAX_INSTANCE, found)?,
        }
        let mut items = Vec::with_capacity(parts.len());
        for part in parts {
            items.push(match part {
                Found::Hash(hash) => Item::Hash(hash),
                Found::Instance(bytes) => {
                    self.instances += 1;
                    if self.instances > MAX_INSTANCES {
                        return Err(Fault::TooMany);
                    }
                    Item::Instance(Box::new(self.instance(&bytes).map_err(Fault::Malformed)?))
                }
            });
        }
        Ok(items)
    }

    fn instance(&self, bytes: &[u8]) -> Result<Instance, String> {
        match self.splitter {
            Splitter::Json(_) => from_json(bytes),
            Splitter::Xml(_) => {
                let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
                from_xml(text)
            }
        }
    }

    /// The answer has ended.
    ///
    /// # Errors
    /// It is not whole.
    pub fn finish(&mut self) -> Result<Vec<Item>, Fault> {
        let mut items = Vec::new();
        if let Some(mut gzip) = self.gzip.take() {
            gzip.try_finish().map_err(|_| Fault::Cut)?;
            let rest = std::mem::take(gzip.get_mut());
            items = self.plain(&rest)?;
        }
        let whole = match &self.splitter {
            Splitter::Json(splitter) => splitter.is_whole(),
            Splitter::Xml(splitter) => splitter.is_whole(),
        };
        match whole {
            true => Ok(items),
            false => Err(Fault::Cut),
        }
    }
}
