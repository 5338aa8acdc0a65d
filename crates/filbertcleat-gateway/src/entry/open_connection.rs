//! Counts the open connections of callers.

use std::rc::Rc;

use super::state::Entry;
use crate::Dialect;

/// Counts a caller's connection as open until this guard is dropped.
pub(super) struct OpenConnection<D: Dialect> {
    entry: Rc<Entry<D>>,
}

impl<D: Dialect> OpenConnection<D> {
    /// Counts a connection as open.
    pub fn new(entry: &Rc<Entry<D>>) -> Self {
        entry.add_open_connection();
        Self { entry: Rc::clone(entry) }
    }
}

impl<D: Dialect> Drop for OpenConnection<D> {
    fn drop(&mut self) {
        self.entry.remove_open_connection();
    }
}
