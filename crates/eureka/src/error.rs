//! Errors of reading a registry's response.

use marbledeck_json_splitter::SplitError;
use thiserror::Error;

/// The reason why a response is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// The nesting depth exceeds the limit.
    #[error("the response is nested too deeply")]
    TooDeep,
    /// The response or one of its instances exceeds its length limit.
    #[error("the response or one of its instances is too long")]
    TooLong,
    /// The number of instances exceeds the limit.
    #[error("the response has too many instances")]
    TooMany,
    /// The response ended before it was complete.
    #[error("the response is truncated")]
    Truncated,
    /// The body does not match the announced format.
    #[error(transparent)]
    Malformed(#[from] MalformedResponse),
}

/// The way in which a response does not match its format.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MalformedResponse {
    /// The body is not JSON.
    #[error("the response is not JSON")]
    NotJson,
    /// A second value follows the first.
    #[error("the response has more than one JSON value")]
    SeveralValues,
    /// Brackets do not match.
    #[error("the brackets of the JSON response do not match")]
    UnmatchedBrackets,
    /// The body is not XML.
    #[error("the response is not XML")]
    NotXml,
    /// A tag begins inside a tag.
    #[error("the XML response has a tag inside another tag")]
    TagInTag,
    /// The body declares a document type, which Eureka never does.
    #[error("the XML response declares a document type")]
    DocumentType,
    /// A kind of tag that Eureka never writes.
    #[error("the XML response has an unexpected kind of tag")]
    UnexpectedTag,
    /// Tags do not match.
    #[error("the tags of the XML response do not match")]
    UnmatchedTags,
    /// A second document follows the first.
    #[error("the response has more than one XML document")]
    SeveralDocuments,
    /// The body cannot be decompressed.
    #[error("the gzip response cannot be decompressed: {detail}")]
    Gzip {
        /// The error of the decoder.
        detail: String,
    },
    /// An instance has no id.
    #[error("an instance of the response has no id")]
    NoId,
    /// An instance cannot be parsed.
    #[error("an instance of the response cannot be parsed: {detail}")]
    Instance {
        /// The error of the parser.
        detail: String,
    },
}

impl MalformedResponse {
    /// Wraps the error of the parser of an instance.
    pub(crate) fn instance(error: impl std::error::Error) -> Self {
        MalformedResponse::Instance {
            detail: error.to_string(),
        }
    }
}

impl From<SplitError> for ResponseError {
    fn from(error: SplitError) -> Self {
        match error {
            SplitError::TooDeep => ResponseError::TooDeep,
            SplitError::ElementTooLong => ResponseError::TooLong,
            SplitError::NotJson => MalformedResponse::NotJson.into(),
            SplitError::SeveralValues => MalformedResponse::SeveralValues.into(),
            SplitError::UnmatchedBrackets => MalformedResponse::UnmatchedBrackets.into(),
        }
    }
}
