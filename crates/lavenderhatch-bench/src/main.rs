//! Load and measurement programs of lavenderhatch.

fn main() {}
