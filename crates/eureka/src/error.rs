//! What is wrong with a registry's answer.

use marbledeck_json_splitter::SplitError;
use thiserror::Error;

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// It is nested too deep.
    #[error("nested too deep")]
    TooDeep,
    /// It, or an instance of it, is too long.
    #[error("too long")]
    TooLong,
    /// It has too many instances.
    #[error("too many instances")]
    TooMany,
    /// It ended before it was complete.
    #[error("cut short")]
    Truncated,
    /// It is not in the form that was announced.
    #[error(transparent)]
    Malformed(#[from] MalformedResponse),
}

/// How an answer departs from its form.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MalformedResponse {
    /// It is not JSON.
    #[error("no JSON")]
    NotJson,
    /// A second value follows the first.
    #[error("more than one value")]
    SeveralValues,
    /// Brackets do not match.
    #[error("brackets do not match")]
    UnmatchedBrackets,
    /// It is not XML.
    #[error("no XML")]
    NotXml,
    /// A tag begins inside a tag.
    #[error("a tag in a tag")]
    TagInTag,
    /// It declares a document type, which Eureka never does.
    #[error("a document type")]
    DocumentType,
    /// A tag of another kind than Eureka's.
    #[error("an odd tag")]
    UnexpectedTag,
    /// Tags do not match.
    #[error("tags do not match")]
    UnmatchedTags,
    /// A second document follows the first.
    #[error("more than one document")]
    SeveralDocuments,
    /// It cannot be unpacked.
    #[error("gzip: {detail}")]
    Gzip {
        /// What the decoder reports.
        detail: String,
    },
    /// An instance has no id.
    #[error("an instance without an id")]
    NoId,
    /// An instance cannot be read.
    #[error("{detail}")]
    Instance {
        /// What the parser reports.
        detail: String,
    },
}

impl MalformedResponse {
    /// An instance that its parser rejects.
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
