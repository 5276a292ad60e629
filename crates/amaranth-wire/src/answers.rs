//! Answers to calls between processes.

use std::future::Future;
use std::io;
use std::panic::AssertUnwindSafe;

use futures::FutureExt;
use tarpc::ServerError;
use tarpc::client::RpcError;

/// Waits for the answer to a call.
///
/// The generated clients panic if an answer is one to another kind of call, as a process of another release
/// may send it. The task that asked must not end by it.
///
/// # Errors
///
/// Returns the error of the call, or that its answer is one to another kind of call. The connection can't
/// be used any more then.
pub async fn answer_of<Answer>(
    asking: impl Future<Output = Result<Answer, RpcError>>,
) -> Result<Answer, RpcError> {
    AssertUnwindSafe(asking)
        .catch_unwind()
        .await
        .unwrap_or_else(|_| {
            Err(RpcError::Server(ServerError::new(
                io::ErrorKind::InvalidData,
                "the answer is to another kind of call".to_owned(),
            )))
        })
}
