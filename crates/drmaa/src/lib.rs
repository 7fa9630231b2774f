//! `libdrmaa.so`, an implementation of the C binding of DRMAA 1.0 (GFD.133) on top of marbledeck's batch submission
//! protocol. The header is `include/drmaa.h`; `docs/drmaa.md` is the user documentation.
#![deny(unsafe_op_in_unsafe_fn)]

#[expect(
    unsafe_code,
    reason = "the C binding dereferences pointers from the caller and exports unmangled symbols"
)]
mod c_interface;
mod errno;
mod native;
mod session;
mod template;
mod times;
