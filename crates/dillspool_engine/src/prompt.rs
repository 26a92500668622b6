//! What the router works out of a prompt by itself.

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of text that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of a prefix block, the unit of the engines' prefix caches.
pub const BLOCK_TOKENS: usize = 256;

/// Estimates the tokens of a text, at least 1.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.len() / BYTES_PER_TOKEN).max(1) as u64
}

/// Hash of the first block of a prompt, 0 for a prompt shorter than a block.
///
/// Prompts with the same hash share at least [`BLOCK_TOKENS`] tokens that an engine may have
/// cached.
pub fn prefix_hash(prompt: &str) -> u64 {
    block_hashes(prompt).next().unwrap_or(0)
}

/// Chained hashes of all whole blocks of a prompt.
pub fn block_hashes(prompt: &str) -> impl Iterator<Item = u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    blocks.scan(0_u64, |chain, block| {
        *chain = xxh3_64(block) ^ chain.rotate_left(1);
        Some(*chain)
    })
}
