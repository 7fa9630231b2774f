//! An incremental reader of a registry's responses: JSON or XML, uncompressed or gzip.

use crate::error::{MalformedResponse, ResponseError};
use crate::xml_splitter::{self, RawItem};
use crate::{instance_json, instance_xml, Instance};
use flate2::write::GzDecoder;
use marbledeck_json_splitter::{Part, SplitError};
use std::io::Write;

/// The longest response in bytes, after decompression: four times what 10,000 instances take.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// The longest instance in bytes.
const MAX_INSTANCE_BYTES: usize = 64 * 1024;
/// The maximum number of instances in a response.
const MAX_INSTANCES: usize = 65_536;

/// The JSON key of one instance or a list of instances.
const INSTANCES_KEY: &str = "instance";
/// The JSON key of the hash code.
const HASH_KEY: &str = "apps__hashcode";

/// The format of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// JSON.
    Json,
    /// XML.
    Xml,
}

/// The content encoding of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// Not compressed.
    Plain,
    /// Compressed with gzip.
    Gzip,
}

/// One item of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseItem {
    /// An instance.
    Instance(Box<Instance>),
    /// The hash code of all instances in the registry, see [`hash_code`](crate::hash_code).
    Hash(String),
}

enum Splitter {
    Json(marbledeck_json_splitter::Splitter),
    Xml(xml_splitter::Splitter),
}

/// Reads one response.
pub struct ResponseReader {
    splitter: Splitter,
    gzip: Option<GzDecoder<Vec<u8>>>,
    /// The decompressed bytes read so far.
    bytes: usize,
    /// The instances found so far.
    instances: usize,
}

impl ResponseReader {
    /// Creates a reader of a response in this format.
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

    /// Reads the next bytes of the body, and returns the items that these bytes complete.
    ///
    /// # Errors
    /// The response is malformed or exceeds a limit. The reader must not be used after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<ResponseItem>, ResponseError> {
        let Some(gzip) = &mut self.gzip else {
            return self.push_plain(bytes);
        };
        let mut items = Vec::new();
        // Decompresses small chunks and checks the total after each: gzip may expand bytes a thousandfold.
        let mut decompressed = Vec::new();
        for chunk in bytes.chunks(512) {
            let written = gzip.write_all(chunk);
            written.map_err(|error| MalformedResponse::Gzip {
                detail: error.to_string(),
            })?;
            decompressed.push(std::mem::take(gzip.get_mut()));
            let length: usize = decompressed.iter().map(Vec::len).sum();
            if self.bytes + length > MAX_RESPONSE_BYTES {
                return Err(ResponseError::TooLong);
            }
        }
        for chunk in decompressed {
            items.extend(self.push_plain(&chunk)?);
        }
        Ok(items)
    }

    fn push_plain(&mut self, bytes: &[u8]) -> Result<Vec<ResponseItem>, ResponseError> {
        self.bytes += bytes.len();
        if self.bytes > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLong);
        }
        let mut raw = Vec::new();
        match &mut self.splitter {
            Splitter::Json(splitter) => {
                splitter.push(bytes, &mut |part: Part| -> Result<(), SplitError> {
                    raw.extend(raw_item(part));
                    Ok(())
                })?;
            }
            Splitter::Xml(splitter) => {
                splitter.push(bytes, MAX_INSTANCE_BYTES, |item: RawItem| raw.push(item))?;
            }
        }
        let mut items = Vec::with_capacity(raw.len());
        for raw_item in raw {
            items.push(match raw_item {
                RawItem::Hash(hash) => ResponseItem::Hash(hash),
                RawItem::Instance(bytes) => {
                    self.instances += 1;
                    if self.instances > MAX_INSTANCES {
                        return Err(ResponseError::TooMany);
                    }
                    ResponseItem::Instance(Box::new(self.parse_instance(&bytes)?))
                }
            });
        }
        Ok(items)
    }

    fn parse_instance(&self, bytes: &[u8]) -> Result<Instance, MalformedResponse> {
        match self.splitter {
            Splitter::Json(_) => instance_json::parse(bytes),
            Splitter::Xml(_) => instance_xml::parse(bytes),
        }
    }

    /// Handles the end of the body, and returns the items that were still buffered for decompression.
    ///
    /// # Errors
    /// The response is not complete.
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

/// Converts a part of a JSON response to an item. Scalars other than the hash code are ignored.
fn raw_item(part: Part) -> Option<RawItem> {
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
