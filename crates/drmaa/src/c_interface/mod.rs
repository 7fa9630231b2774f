//! The exported functions of the C binding (GFD.133). Only these modules contain unsafe code: they access the caller's
//! memory as the C binding defines it and convert boxes to opaque handles. Panics do not unwind into the caller.

mod control;
mod information;
mod memory;
mod session;
mod string_vectors;
mod submission;
mod templates;
mod wait;
mod wait_status;
