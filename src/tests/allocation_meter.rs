//! Counts the bytes that the current thread has allocated, so that a test can bound the memory of what it runs.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static LIVE_BYTES: Cell<isize> = const { Cell::new(0) };
    static PEAK_BYTES: Cell<isize> = const { Cell::new(0) };
}

/// The system's allocator, with counts for each thread.
struct MeteredAllocator;

fn count(bytes: isize) {
    // The counters of a thread that is ending are gone.
    let _ = LIVE_BYTES.try_with(|live| {
        live.set(live.get() + bytes);
        let _ = PEAK_BYTES.try_with(|peak| peak.set(peak.get().max(live.get())));
    });
}

// SAFETY: every call is passed on unchanged to the system's allocator; counting allocates nothing.
unsafe impl GlobalAlloc for MeteredAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: MeteredAllocator = MeteredAllocator;

/// Runs `work`; returns its result and by how many megabytes the memory allocated by this thread rose at most meanwhile.
pub fn measure_peak_mb<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = LIVE_BYTES.get();
    PEAK_BYTES.set(before);
    let result = work();
    (result, (PEAK_BYTES.get() - before) as f64 / 1e6)
}
