//! Counts the panics of a test.

use std::cell::Cell;
use std::panic;
use std::sync::Once;

static HOOK: Once = Once::new();

thread_local! {
    /// The panics in the thread of this test, which runs the processes under test too.
    static PANICS: Cell<usize> = const { Cell::new(0) };
}

/// Counts panics from now on, also those that a process contains.
pub fn count_panics() {
    HOOK.call_once(|| {
        let before = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            PANICS.set(PANICS.get() + 1);
            before(info);
        }));
    });
}

/// Returns the number of panics so far.
pub fn panics() -> usize {
    PANICS.get()
}
