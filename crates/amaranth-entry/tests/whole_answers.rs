//! Tests of whole answers that are assembled from streamed chunks.

use amaranth_core::request::CompletionApi;
use amaranth_entry::http::whole_answers::WholeAnswer;
use serde_json::{Value, json};

fn whole(api: CompletionApi, chunks: &[Value]) -> Value {
    let mut answer = WholeAnswer::new(api);
    for chunk in chunks {
        let text = serde_json::to_vec(chunk).expect("the chunk is JSON");
        answer.push(&text).expect("the chunk is well formed");
    }
    serde_json::from_slice(&answer.finish()).expect("the answer is JSON")
}

#[test]
fn tool_calls_are_joined_by_their_index() {
    let delta = |delta: Value| json!({"choices": [{"index": 0, "delta": delta}]});
    let call = |index: u32, arguments: &str| json!({"tool_calls": [{"index": index, "function": {"arguments": arguments}}]});
    let first = json!({"tool_calls": [
        {"index": 0, "id": "t1", "type": "function", "function": {"name": "book", "arguments": ""}},
        {"index": 1, "id": "t2", "type": "function", "function": {"name": "pay", "arguments": ""}},
    ]});
    let answer = whole(
        CompletionApi::ChatCompletions,
        &[
            delta(first),
            delta(call(1, "{\"sum\"")),
            delta(call(0, "{}")),
            delta(call(1, ":3}")),
            json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "tool_calls"}]}),
        ],
    );
    let choice = &answer["choices"][0];
    assert_eq!(choice["finish_reason"], "tool_calls");
    assert_eq!(
        choice["message"]["tool_calls"],
        json!([
            {"index": 0, "id": "t1", "type": "function",
             "function": {"name": "book", "arguments": "{}"}},
            {"index": 1, "id": "t2", "type": "function",
             "function": {"name": "pay", "arguments": "{\"sum\":3}"}},
        ])
    );
}

#[test]
fn choices_are_assembled_separately() {
    let text = |index: u32, text: &str| json!({"choices": [{"index": index, "text": text}]});
    let answer = whole(
        CompletionApi::Completions,
        &[text(1, "b"), text(0, "a"), text(1, "d"), text(0, "c")],
    );
    assert_eq!(answer["object"], "text_completion");
    assert_eq!(answer["choices"][0]["text"], "ac");
    assert_eq!(answer["choices"][1]["text"], "bd");
}

#[test]
fn log_probabilities_are_appended() {
    let chunk = |token: &str| {
        let content = json!([{"token": token, "logprob": -0.5}]);
        json!({"choices": [{"index": 0, "delta": {"content": token},
            "logprobs": {"content": content}}]})
    };
    let answer = whole(CompletionApi::ChatCompletions, &[chunk("x"), chunk("y")]);
    let tokens = &answer["choices"][0]["logprobs"]["content"];
    assert_eq!(tokens[0]["token"], "x");
    assert_eq!(tokens[1]["token"], "y");
}

#[test]
fn a_chunk_that_is_not_an_object_is_an_error() {
    let mut answer = WholeAnswer::new(CompletionApi::Completions);
    assert!(answer.push(b"[]").is_err());
    assert!(answer.push(b"{").is_err());
}
