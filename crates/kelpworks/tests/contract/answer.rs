//! What a caller sees of an answer, as text.

use std::fmt::Write;

use reqwest::Response;

use kelpworks_wire::ErrorBody;

/// Headers that are part of the contract.
const HEADERS: [&str; 4] = ["allow", "location", "retry-after", "kelpworks-verdict"];
/// Longest body that is shown.
const SHOWN: usize = 40;

/// Status, headers of the contract, and the kind of the error or the body itself.
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
        assert!(!error.message.is_empty(), "an error says something");
        let tells_address = error.message.contains("127.0.0.1");
        assert!(
            !tells_address,
            "no caller learns an address: {}",
            error.message
        );
        return text;
    }
    let shown = String::from_utf8_lossy(&body[..body.len().min(SHOWN)]).into_owned();
    let _ = write!(text, "  {} bytes: {}", body.len(), shown.trim());
    text
}
