//! Tests of an entry on loopback, between callers that write raw HTTP and scripted endpoints.

mod calls;
mod feeds;
mod lifecycle;
mod loads;
mod streams;
mod support;
