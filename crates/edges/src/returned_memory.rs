//! Returns memory that the process has freed to the operating system. The allocator keeps it
//! otherwise, and the host counts it as in use.

/// Returns the free pages of all heaps.
#[cfg(target_env = "gnu")]
pub(crate) fn return_free_memory() {
    // SAFETY: `malloc_trim` has no preconditions and may be called from any thread.
    unsafe { libc::malloc_trim(0) };
}

/// Other allocators return memory by themselves.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn return_free_memory() {}
