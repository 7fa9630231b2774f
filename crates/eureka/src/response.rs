//! Reads a registry's answer as it comes: JSON or XML, plain or gzip.

use crate::error::{MalformedResponse, ResponseError};
use crate::xml_splitter::{self, RawItem};
use crate::{instance_json, instance_xml, Instance};
use flate2::write::GzDecoder;
use marbledeck_json_splitter::{Part, SplitError};
use std::io::Write;

/// The most bytes of an answer, unpacked: four times what 10,000 instances take.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// The most bytes of an instance.
const MAX_INSTANCE_BYTES: usize = 64 * 1024;
/// The most instances of an answer.
const MAX_INSTANCES: usize = 65_536;

/// The key of instances in JSON.
const INSTANCES_KEY: &str = "instance";
/// The key of the hash code in JSON.
const HASH_KEY: &str = "apps__hashcode";

/// The format of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// JSON.
    Json,
    /// XML.
    Xml,
}

/// How an answer is packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// Not at all.
    Plain,
    /// By gzip.
    Gzip,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseItem {
    /// An instance.
    Instance(Box<Instance>),
    /// The hash code of all that the registry holds.
    Hash(String),
}

enum Splitter {
    Json(marbledeck_json_splitter::Splitter),
    Xml(xml_splitter::Splitter),
}

/// Reads one answer.
pub struct ResponseReader {
    splitter: Splitter,
    gzip: Option<GzDecoder<Vec<u8>>>,
    bytes: usize,
    instances: usize,
}

impl ResponseReader {
    /// A reader of an answer in this format.
    pub fn new(format: ResponseFormat, encoding: Encoding) -> Self {
        ResponseReader {
            splitter: match format {
                ResponseFormat::Json => Splitter::Json(marbledeck_json_splitter::Splitter::new(
                    INSTANCES_KEY,
                    &[HASH_KEY],
                    MAX_INSTANCE_BYTES,
                )),
                ResponseFormat::Xml => Splitter::Xml(xml_splitter::Splitter::default()),
            },
            gzip: (encoding == Encoding::Gzip).then(|| GzDecoder::new(Vec::new())),
            bytes: 0,
            instances: 0,
        }
    }

    /// Takes the bytes that have come, and gives the parts that end in them.
    ///
    /// # Errors
    /// What is wrong with the answer: nothing more is to be pushed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<ResponseItem>, ResponseError> {
        let Some(gzip) = &mut self.gzip else {
            return self.push_plain(bytes);
        };
        let mut items = Vec::new();
        // A little at a time: a few bytes may stand for a thousand times as many.
        let mut pieces = Vec::new();
        for piece in bytes.chunks(512) {
            let wrote = gzip.write_all(piece);
            wrote.map_err(|error| MalformedResponse::Gzip {
                detail: error.to_string(),
            })?;
            pieces.push(std::mem::take(gzip.get_mut()));
            let unpacked: usize = pieces.iter().map(Vec::len).sum();
            if self.bytes + unpacked > MAX_RESPONSE_BYTES {
                return Err(ResponseError::TooLong);
            }
        }
        for piece in pieces {
            items.extend(self.push_plain(&piece)?);
        }
        Ok(items)
    }

    fn push_plain(&mut self, bytes: &[u8]) -> Result<Vec<ResponseItem>, ResponseError> {
        self.bytes += bytes.len();
        if self.bytes > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLong);
        }
        let mut parts = Vec::new();
        match &mut self.splitter {
            Splitter::Json(splitter) => {
                splitter.push(bytes, &mut |part: Part| -> Result<(), SplitError> {
                    parts.extend(from_json(part));
                    Ok(())
                })?;
            }
            Splitter::Xml(splitter) => {
                splitter.push(bytes, MAX_INSTANCE_BYTES, |part: RawItem| parts.push(part))?;
            }
        }
        let mut items = Vec::with_capacity(parts.len());
        for part in parts {
            items.push(match part {
                RawItem::Hash(hash) => ResponseItem::Hash(hash),
                RawItem::Instance(bytes) => {
                    self.instances += 1;
                    if self.instances > MAX_INSTANCES {
                        return Err(ResponseError::TooMany);
                    }
                    ResponseItem::Instance(Box::new(self.instance(&bytes)?))
                }
            });
        }
        Ok(items)
    }

    fn instance(&self, bytes: &[u8]) -> Result<Instance, MalformedResponse> {
        match self.splitter {
            Splitter::Json(_) => instance_json::parse(bytes),
            Splitter::Xml(_) => instance_xml::parse(bytes),
        }
    }

    /// The answer has ended.
    ///
    /// # Errors
    /// It is not complete.
    pub fn finish(&mut self) -> Result<Vec<ResponseItem>, ResponseError> {
        let mut items = Vec::new();
        if let Some(mut gzip) = self.gzip.take() {
            gzip.try_finish().map_err(|_| ResponseError::Truncated)?;
            let rest = std::mem::take(gzip.get_mut());
            items = self.push_plain(&rest)?;
        }
        let is_complete = match &self.splitter {
            Splitter::Json(splitter) => splitter.is_complete(),
            Splitter::Xml(splitter) => splitter.is_complete(),
        };
        if is_complete {
            Ok(items)
        } else {
            Err(ResponseError::Truncated)
        }
    }
}

/// What a part of an answer in JSON is, where it is of interest.
fn from_json(part: Part) -> Option<RawItem> {
    match part {
        Part::Element(bytes) => Some(RawItem::Instance(bytes.to_vec())),
        Part::Scalar {
            is_string: true,
            text,
            ..
        } => Some(RawItem::Hash(String::from_utf8_lossy(text).into_owned())),
        Part::Scalar { .. } | Part::UnexpectedScalar => None,
    }
}
