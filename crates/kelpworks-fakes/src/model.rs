//! The fake model: a hash chain in place of matrix arithmetic.
//!
//! Each next token depends on every layer, every earlier position and the prompt. A layer that is
//! skipped, run twice, run out of order or given another session's rows changes the answer.

use std::ops::Range;

use xxhash_rust::xxh3::xxh3_64;

/// Number of distinct tokens; token 0 ends an answer.
pub const VOCABULARY_SIZE: u32 = 4096;

const END_TOKEN: u32 = 0;

/// A fake model of a name, a version and a number of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    name: String,
    version: String,
    layers: u32,
    /// Hash of name and version; the start value of every hash chain.
    seed: u64,
}

/// KV cache of consecutive layers for one session: a running digest for each layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCache {
    /// Index of the first layer.
    first: u32,
    /// One digest for each layer, from `first` on.
    digests: Vec<u64>,
}

impl KvCache {
    /// Restores a cache from exported digests, one for each layer from `first` on.
    pub fn from_digests(first: u32, digests: Vec<u64>) -> KvCache {
        KvCache { first, digests }
    }

    /// Returns the digests, one for each layer.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }
}

impl Model {
    /// Creates a model of this many layers.
    ///
    /// # Examples
    ///
    /// ```
    /// use kelpworks_fakes::Model;
    /// use kelpworks_fakes::tokenize;
    ///
    /// let model = Model::new("caption", "1", 4);
    /// let answer = model.answer(&tokenize(b"a red chair"), 8);
    /// assert!(answer.len() <= 8);
    /// assert_ne!(answer, Model::new("caption", "2", 4).answer(&tokenize(b"a red chair"), 8));
    /// ```
    pub fn new(name: &str, version: &str, layers: u32) -> Model {
        let seed = hash_words([xxh3_64(name.as_bytes()), xxh3_64(version.as_bytes())]);
        Model {
            name: name.to_owned(),
            version: version.to_owned(),
            layers,
            seed,
        }
    }

    /// Returns the same model at another version.
    pub fn at_version(&self, version: &str) -> Model {
        Model::new(&self.name, version, self.layers)
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the version.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the number of layers.
    pub fn layers(&self) -> u32 {
        self.layers
    }

    /// Returns an empty KV cache over these layers.
    pub fn cache(&self, layers: Range<u32>) -> KvCache {
        let first = layers.start;
        let digests = layers
            .map(|l| hash_words([self.seed, u64::from(l)]))
            .collect();
        KvCache { first, digests }
    }

    /// Returns the input row of layer 0 for a token at a position.
    pub fn embed(&self, token: u32, position: u32) -> u64 {
        hash_words([self.seed, u64::from(token), u64::from(position)])
    }

    /// Runs the layers of `kv` over one position and returns the output row.
    pub fn run(&self, kv: &mut KvCache, mut row: u64, position: u32) -> u64 {
        let position = u64::from(position);
        let layers = u64::from(kv.first)..;
        for (layer, digest) in layers.zip(kv.digests.iter_mut()) {
            let out = hash_words([row, layer, position, *digest]);
            *digest = hash_words([*digest, row, layer, position]);
            row = out;
        }
        row
    }

    /// Returns the next token, given the output row of the last layer.
    pub fn next_token(&self, row: u64) -> u32 {
        (row % u64::from(VOCABULARY_SIZE)) as u32
    }

    /// Computes the whole answer to a prompt without engines; token 0, which ends it, is left out.
    ///
    /// An empty prompt has an empty answer.
    pub fn answer(&self, prompt: &[u32], max_tokens: u32) -> Vec<u32> {
        let mut kv = self.cache(0..self.layers);
        let mut answer = Vec::new();
        let mut position = 0;
        let mut row = None;
        for &token in prompt {
            row = Some(self.run(&mut kv, self.embed(token, position), position));
            position += 1;
        }
        while let Some(last) = row {
            let token = self.next_token(last);
            if token == END_TOKEN || answer.len() as u32 == max_tokens {
                break;
            }
            answer.push(token);
            row = Some(self.run(&mut kv, self.embed(token, position), position));
            position += 1;
        }
        answer
    }

    /// Returns the text of the whole answer to a prompt.
    pub fn answer_text(&self, prompt: &str, max_tokens: u32) -> String {
        let answer = self.answer(&tokenize(prompt.as_bytes()), max_tokens);
        answer.into_iter().map(token_text).collect()
    }
}

/// Returns the tokens of a prompt: for each byte its value plus one.
pub fn tokenize(prompt: &[u8]) -> Vec<u32> {
    prompt.iter().map(|b| u32::from(*b) + 1).collect()
}

/// Returns the text of a generated token: a space and three hex digits.
pub fn token_text(token: u32) -> String {
    format!(" {token:03x}")
}

fn hash_words<const N: usize>(words: [u64; N]) -> u64 {
    let mut buf = [0; 32];
    for (chunk, word) in buf.chunks_exact_mut(8).zip(words) {
        chunk.copy_from_slice(&word.to_le_bytes());
    }
    xxh3_64(&buf[..N * 8])
}
