//! Batch submission in DRMAA terms, as `docs/submission.md` describes it.

pub mod calls;
mod frame;
