//! An entry on loopback, between raw callers and scripted endpoints.

mod calls;
mod feeds;
mod lifecycle;
mod loads;
mod streams;
mod support;
