//! The tokenizer named `bytes`: a prompt byte `b` is token `b + 1`, a generated token `t` reads
//! as a space and three hexadecimal digits. Token 0 ends an answer.
//!
//! Limits: it stands for the tokenizer of a real model, which belongs to that
//! model's adapter on the engine client.

/// The token that ends an answer.
pub const END: u32 = 0;

/// Tokens of a prompt.
///
/// ```
/// assert_eq!(kelpworks::pipeline::tokens::encode("ab"), [98, 99]);
/// ```
pub fn encode(prompt: &str) -> Vec<u32> {
    prompt.bytes().map(|b| u32::from(b) + 1).collect()
}

/// Text of one generated token.
///
/// ```
/// assert_eq!(kelpworks::pipeline::tokens::decode(31), " 01f");
/// ```
pub fn decode(token: u32) -> String {
    format!(" {token:03x}")
}
