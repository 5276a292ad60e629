//! Tests of the digest that all attempts of one request share.

use amaranth_dispatch::call::RequestDigest;
use amaranth_relay::routed_call::request_digest;
use http::Request;
use rstest::rstest;

fn digest(method: &str, target: &str, headers: &[(&str, &str)], body: &str) -> RequestDigest {
    let mut request = Request::builder().method(method).uri(target);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request.body(()).expect("the head is valid").into_parts();
    request_digest("h.example", &parts, body.as_bytes())
}

#[test]
fn attempts_of_one_request_have_one_digest() {
    let first = digest("POST", "/a/b?c=d", &[("x-id", "1"), ("left", "800")], "x");
    let second = digest(
        "POST",
        "/a/b?c=d",
        &[("x-id", "2"), ("last-event-id", "7")],
        "x",
    );
    assert_eq!(first, second);
    assert_eq!(first.to_string().parse(), Ok(first));
}

#[rstest]
#[case::another_method("GET", "/a/b?c=d", "token", "x")]
#[case::another_path("POST", "/a/c?c=d", "token", "x")]
#[case::another_query("POST", "/a/b?c=e", "token", "x")]
#[case::another_caller("POST", "/a/b?c=d", "other", "x")]
#[case::another_body("POST", "/a/b?c=d", "token", "y")]
fn different_requests_have_different_digests(
    #[case] method: &str,
    #[case] target: &str,
    #[case] credential: &str,
    #[case] body: &str,
) {
    let first = digest("POST", "/a/b?c=d", &[("authorization", "token")], "x");
    let second = digest(method, target, &[("authorization", credential)], body);
    assert_ne!(first, second);
}
