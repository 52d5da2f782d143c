//! Tests of the path of a request.
