//! The exported functions of the C binding (GFD.133). Only these modules contain unsafe code: they read and write the
//! memory of the caller as the C binding defines it, and make handles of boxes. No panic leaves an exported function.

mod control;
mod information;
mod memory;
mod session;
mod string_vectors;
mod submission;
mod templates;
mod wait;
mod wait_status;
