//! The C library's own functions.

use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library, looked up behind this library.
pub(crate) struct Original {
    name: &'static std::ffi::CStr,
    address: AtomicPtr<libc::c_void>,
}

impl Original {
    pub(crate) const fn new(name: &'static std::ffi::CStr) -> Original {
        Original { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Its address. Ends the process if there is none: every function named in this library is one of the C library.
    pub(crate) fn address(&self) -> *mut libc::c_void {
        let known = self.address.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name is a C string.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            std::process::abort();
        }
        self.address.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls the C library's own function of a name with this type.
macro_rules! original {
    ($name:ident as $kind:ty, $($argument:expr),*) => {{
        static ORIGINAL: crate::original::Original = crate::original::Original::new(
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("a name"),
            },
        );
        // SAFETY: the type given is the function's in the C library.
        let function = unsafe { std::mem::transmute::<*mut libc::c_void, $kind>(ORIGINAL.address()) };
        // SAFETY: the caller's arguments go on unchanged.
        unsafe { function($($argument),*) }
    }};
}
pub(crate) use original;
