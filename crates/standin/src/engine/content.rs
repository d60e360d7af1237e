//! Content of completions, which depends only on the prompt and the token limit.

use crate::hash::stable_hash;

/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Seeds that make the hashes of a prompt for different uses independent.
const LENGTH_SEED: u64 = 1;
const TOKEN_SEED: u64 = 2;

/// Length and tokens of the completion of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamContent {
    prompt_tokens: u64,
    completion_tokens: u64,
    token_seed: u64,
}

impl StreamContent {
    /// Derives the content from the prompt; the completion has 1 to `max_tokens` tokens.
    pub fn of(prompt: &str, max_tokens: u64) -> Self {
        let hash = |seed| stable_hash(prompt.as_bytes(), seed);
        Self {
            prompt_tokens: (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1),
            completion_tokens: 1 + hash(LENGTH_SEED) % max_tokens.max(1),
            token_seed: hash(TOKEN_SEED),
        }
    }

    /// Returns the number of tokens in the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }

    /// Returns the number of tokens in the whole completion.
    pub fn completion_tokens(&self) -> u64 {
        self.completion_tokens
    }

    /// Returns the token at `index`.
    pub fn token(&self, index: u64) -> String {
        let hash = stable_hash(&index.to_le_bytes(), self.token_seed);
        format!("{:05x} ", hash & 0xf_ffff)
    }

    /// Returns the server-sent events of the tokens with indices in `from..to`.
    pub fn token_events(&self, from: u64, to: u64) -> String {
        (from..to)
            .map(|index| {
                format!("data: {{\"index\":{index},\"token\":\"{}\"}}\n\n", self.token(index))
            })
            .collect()
    }

    /// Returns the events that follow the last token: the usage and the end marker.
    pub fn final_events(&self) -> String {
        format!(
            "data: {{\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
            self.prompt_tokens, self.completion_tokens
        )
    }

    /// Returns the text of the whole completion.
    pub fn text(&self) -> String {
        (0..self.completion_tokens).map(|index| self.token(index)).collect()
    }
}

/// Returns all server-sent events of a streamed completion of `prompt`.
pub fn completion_events(prompt: &str, max_tokens: u64) -> String {
    let content = StreamContent::of(prompt, max_tokens);
    content.token_events(0, content.completion_tokens()) + &content.final_events()
}
