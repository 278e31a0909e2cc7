//! Access to the original functions of the C library.

use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library, looked up in the libraries loaded after this one.
pub(crate) struct Original {
    name: &'static std::ffi::CStr,
    address: AtomicPtr<libc::c_void>,
}

impl Original {
    pub(crate) const fn new(name: &'static std::ffi::CStr) -> Original {
        Original { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Returns the function's address. Aborts the process if it has none, which can't happen: every function named in
    /// this crate is in the C library.
    pub(crate) fn address(&self) -> *mut libc::c_void {
        let cached = self.address.load(Ordering::Relaxed);
        if !cached.is_null() {
            return cached;
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

/// Calls the C library's function with this name and type.
macro_rules! original {
    ($name:ident as $kind:ty, $($argument:expr),*) => {{
        static ORIGINAL: crate::original::Original = crate::original::Original::new(
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("function name contains a NUL byte"),
            },
        );
        // SAFETY: the given type is that of the function in the C library.
        let function = unsafe { std::mem::transmute::<*mut libc::c_void, $kind>(ORIGINAL.address()) };
        // SAFETY: the caller's arguments are passed on unchanged, except that a partial write has a smaller length.
        unsafe { function($($argument),*) }
    }};
}
pub(crate) use original;
