//! A counting allocator for the benchmark binary and its tests.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;

thread_local! {
    static ALLOCATION_COUNT: Cell<u64> = const { Cell::new(0) };
    static LIVE_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// The system allocator, with allocation counters for each thread.
#[derive(Debug)]
pub struct CountingAllocator;

fn record(count: u64, bytes: i64) {
    // The counters are already destroyed while a thread exits; what it frees then need not be
    // counted.
    let _ = ALLOCATION_COUNT.try_with(|cell| cell.set(cell.get() + count));
    let _ = LIVE_BYTES.try_with(|cell| cell.set(cell.get() + bytes));
}

fn signed(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

// SAFETY: every call is forwarded to the system allocator unchanged.
#[allow(unsafe_code, reason = "an allocator cannot be written without")]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record(1, signed(layout.size()));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        record(0, -signed(layout.size()));
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        record(1, signed(size) - signed(layout.size()));
        // SAFETY: the caller upholds the contract of `realloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }
}

/// Returns the number of allocations of this thread so far, or 0 if `CountingAllocator` is not the
/// global allocator.
pub fn count() -> u64 {
    ALLOCATION_COUNT.with(Cell::get)
}

/// Returns the bytes that this thread has allocated minus those that it has freed.
pub fn live_bytes() -> i64 {
    LIVE_BYTES.with(Cell::get)
}
