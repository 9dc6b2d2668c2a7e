//! Contract with callers: how valid and invalid requests are parsed, and the status of each answer.

use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use callers::parse::{Call, DEFAULT_WAIT_MS, Identity, RequestError, parse};
use callers::render::{render, status_of};
use dispatch::answer::{Answer, Reason, Verdict};
use httpedge::server::Request;

const MAX_TASKS: usize = 3;
const JOB: &str = r#"{"kind": "check", "tasks": [{"input": "a"}]}"#;

fn request(method: &str, target: &str, headers: &[(&str, &str)], body: Option<&str>) -> Request {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name: HeaderName = name.parse().unwrap();
        map.insert(name, HeaderValue::from_str(value).unwrap());
    }
    Request {
        method: method.parse::<Method>().unwrap(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: map,
        body: body.map(|text| text.as_bytes().to_vec().into()),
    }
}

type Headers<'a> = &'a [(&'a str, &'a str)];
/// Method, target, headers, body, and the expected status and part of the error's text.
type InvalidCase<'a> = (&'a str, &'a str, Headers<'a>, Option<&'a str>, u16, &'a str);

#[test]
fn invalid_requests_are_rejected_with_a_remedy() {
    let too_many_tasks = format!(
        r#"{{"kind": "check", "tasks": [{}]}}"#,
        [r#"{"input": "a"}"#; MAX_TASKS + 1].join(",")
    );
    let cases: [InvalidCase; 13] = [
        ("POST", "/v1/jobs", &[], Some("{bad"), 400, "the body is no job"),
        ("POST", "/v1/jobs", &[], Some("{}"), 400, "missing field `kind`"),
        ("POST", "/v1/jobs", &[], Some(r#"{"kind": 3, "tasks": []}"#), 400, "invalid type"),
        ("POST", "/v1/jobs", &[], Some(r#"{"kind": "a", "tasks": []}"#), 400, "at least one"),
        ("POST", "/v1/jobs", &[], Some(&too_many_tasks), 400, "send at most 3"),
        ("POST", "/v1/jobs", &[], None, 413, "too large"),
        ("POST", "/v1/jobs?wait_ms=soon", &[], Some(JOB), 400, "whole number"),
        ("POST", "/v1/jobs?wait_ms=999999999", &[], Some(JOB), 400, "up to 600000"),
        ("POST", "/v1/jobs", &[("idempotency-key", "abc")], Some(JOB), 400, "current Unix time"),
        (
            "POST",
            "/v1/jobs",
            &[("idempotency-key", "1-a"), ("ticket", "t")],
            Some(JOB),
            400,
            "not both",
        ),
        ("GET", "/v1/tickets?count=100000", &[], None, 400, "up to 1000"),
        ("PUT", "/v1/jobs", &[], Some(JOB), 404, "no such call"),
        ("GET", "/", &[], None, 404, "no such call"),
    ];
    for (method, target, headers, body, status, text) in cases {
        let error = parse(&request(method, target, headers, body), MAX_TASKS).unwrap_err();
        assert_eq!(error.status(), status, "{method} {target}");
        assert!(error.to_string().contains(text), "{method} {target}: {error}");
    }
}

#[test]
fn valid_requests_are_parsed() {
    let submit = |headers: &[(&str, &str)]| match parse(
        &request("POST", "/v1/jobs", headers, Some(JOB)),
        MAX_TASKS,
    ) {
        Ok(Call::Submit { identity, wait_ms, .. }) => (identity, wait_ms),
        other => panic!("{other:?}"),
    };
    assert_eq!(submit(&[]), (Identity::Unspecified, DEFAULT_WAIT_MS));
    assert_eq!(submit(&[("ticket", "t")]).0, Identity::Ticket("t".into()));
    let key = Identity::Key { key: "1700000000-x".into(), key_ms: 1_700_000_000_000 };
    assert_eq!(submit(&[("idempotency-key", "1700000000-x")]).0, key);
    let wait = parse(&request("GET", "/v1/jobs/abc?wait_ms=5", &[], None), MAX_TASKS);
    assert_eq!(wait, Ok(Call::Wait { ticket: "abc".into(), wait_ms: 5 }));
    let cancel = parse(&request("DELETE", "/v1/jobs/abc", &[], None), MAX_TASKS);
    assert_eq!(cancel, Ok(Call::Cancel { ticket: "abc".into() }));
    let negative = parse(&request("GET", "/v1/jobs/abc?wait_ms=-1", &[], None), MAX_TASKS);
    assert!(matches!(negative, Err(RequestError::Number("wait_ms", _))));
}

#[test]
fn each_kind_of_answer_has_its_status() {
    let cases = [
        (Answer::without_tasks(Verdict::Complete, Reason::Done), 200),
        (Answer::running(), 202),
        (Answer::without_tasks(Verdict::Failed, Reason::TaskFailed), 502),
        (Answer::not_run(Reason::UnknownKind), 422),
        (Answer::not_run(Reason::Overloaded), 429),
        (Answer::not_run(Reason::LogOut), 503),
        (Answer::unknown(Reason::HomeGone), 504),
        (Answer::unknown(Reason::NoLongerHeld), 410),
        (Answer::unknown(Reason::OtherRequest), 409),
        (Answer::unknown(Reason::NotSubmitted), 404),
    ];
    for (answer, status) in cases {
        assert_eq!(status_of(&answer), status, "{answer:?}");
    }
    let overloaded = Answer::not_run(Reason::Overloaded).retry_after(1_200);
    let response = render("t", &overloaded, Vec::new());
    assert!(response.headers.contains(&("retry-after", "2".to_owned())));
}
