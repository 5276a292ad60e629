//! Tests of an entry on loopback, between callers that write raw HTTP and scripted endpoints.

mod admission;
mod agent_peers;
mod answer_ends;
mod calls;
mod crashing_engines;
mod endless;
mod endpoint_wishes;
mod feeds;
mod lifecycle;
mod loads;
mod quarantine;
mod quotas;
mod readers;
mod refusals;
mod slow_peers;
mod software_versions;
mod stops;
mod store_histories;
mod streams;
mod support;
mod teams;
mod turns;
