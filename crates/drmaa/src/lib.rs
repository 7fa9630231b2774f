//! The C interface of DRMAA 1.0 (GFD.133, C binding) to marbledeck's batch submission, as `libdrmaa.so`. The header is
//! `include/drmaa.h`; `docs/drmaa.md` describes the library for its users.
#![deny(unsafe_op_in_unsafe_fn)]

#[expect(
    unsafe_code,
    reason = "the C binding passes pointers of the caller and exports symbols by name"
)]
mod c_interface;
mod errno;
mod native;
mod session;
mod template;
mod times;
