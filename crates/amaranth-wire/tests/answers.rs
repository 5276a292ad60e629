//! Answers that belong to another kind of call.

use std::io;
use std::time::Duration;

use amaranth_dispatch::call_limiter::CallRate;
use amaranth_wire::answers::answer_of;
use amaranth_wire::engine_agent::{self, EngineAgentRpcRequest, EngineAgentRpcResponse};
use amaranth_wire::transport::{self, PeerTransport};
use futures::{SinkExt, StreamExt};
use tarpc::client::RpcError;
use tarpc::{ClientMessage, Response};

/// What an agent of another release receives and sends.
type OddTransport =
    PeerTransport<ClientMessage<EngineAgentRpcRequest>, Response<EngineAgentRpcResponse>>;

/// Answers each call as if it were one for the origin of a stream.
async fn answer_as_other_call(mut transport: OddTransport) {
    while let Some(Ok(message)) = transport.next().await {
        let ClientMessage::Request(request) = message else {
            continue;
        };
        let answer = Response {
            request_id: request.id,
            message: Ok(EngineAgentRpcResponse::FindOrigin(None)),
        };
        if transport.send(answer).await.is_err() {
            return;
        }
    }
}

/// Guards against a task that ends by the answer of a process of another release.
#[tokio::test]
async fn an_answer_to_another_kind_of_call_is_an_error() {
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let server = transport::bind(address, answer_as_other_call)
        .await
        .expect("loopback has a free port");
    let client = engine_agent::connect(server.address(), Duration::from_secs(2))
        .await
        .expect("the server accepts connections");
    let rate = CallRate::per_second(2.0).expect("the rate is valid");
    let endpoint = "e".parse().expect("the name is valid");
    let permit = client.permit(tarpc::context::current(), endpoint, rate);
    let error = answer_of(permit).await.expect_err("the answer is refused");
    assert!(
        matches!(&error, RpcError::Server(error) if error.kind == io::ErrorKind::InvalidData),
        "{error}"
    );
}
