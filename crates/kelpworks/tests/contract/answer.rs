//! Text form of the parts of a response that callers rely on, for snapshots.

use std::fmt::Write;

use reqwest::Response;

use kelpworks_wire::ErrorBody;

/// Response headers that are part of the callers' API.
const HEADERS: [&str; 4] = ["allow", "location", "retry-after", "kelpworks-verdict"];
/// Longest part of a body that is shown, in bytes.
const MAX_SHOWN_BYTES: usize = 40;

/// Returns the status, the [`HEADERS`], and the type and verdict of the error or the start of the
/// body. Panics if an error names no request, has no message or contains an address.
pub(crate) async fn describe(res: Response) -> String {
    let mut text = format!("  {}\n", res.status());
    for name in HEADERS {
        if let Some(value) = res.headers().get(name) {
            let value = value.to_str().expect("text");
            let shown = if value.contains("127.0.0.1") {
                "[url]"
            } else {
                value
            };
            let _ = writeln!(text, "  {name}: {shown}");
        }
    }
    let names_request = res.headers().contains_key("kelpworks-request-id");
    let body = match res.bytes().await {
        Ok(body) => body,
        Err(_) => return text + "  body breaks off",
    };
    if let Ok(ErrorBody { error }) = serde_json::from_slice(&body) {
        let _ = write!(text, "  error {}, {}", error.type_, error.verdict);
        assert!(names_request, "an error names its request");
        assert!(!error.message.is_empty(), "an error has a message");
        let contains_address = error.message.contains("127.0.0.1");
        assert!(
            !contains_address,
            "an error message contains an address: {}",
            error.message
        );
        return text;
    }
    let shown = String::from_utf8_lossy(&body[..body.len().min(MAX_SHOWN_BYTES)]).into_owned();
    let _ = write!(text, "  {} bytes: {}", body.len(), shown.trim());
    text
}
