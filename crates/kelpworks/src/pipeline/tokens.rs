//! The tokenizer named `bytes`: a prompt byte `b` is token `b + 1`; the text of a generated token
//! is a space and at least three hexadecimal digits. Token 0 ends an answer.
//!
//! Limits: this is a placeholder for the tokenizer of a real model, which belongs in that model's
//! adapter of the engine client.

/// Token that ends an answer; it has no text.
pub const END: u32 = 0;

/// Returns the tokens of a prompt.
///
/// ```
/// assert_eq!(kelpworks::pipeline::tokens::encode("ab"), [98, 99]);
/// ```
pub fn encode(prompt: &str) -> Vec<u32> {
    prompt.bytes().map(|b| u32::from(b) + 1).collect()
}

/// Returns the text of one generated token.
///
/// ```
/// assert_eq!(kelpworks::pipeline::tokens::decode(31), " 01f");
/// ```
pub fn decode(token: u32) -> String {
    format!(" {token:03x}")
}
