//! Token estimates and prefix hashes, computed from a prompt without a tokenizer.

use xxhash_rust::xxh3::xxh3_64;

/// Approximate length of a token in a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens per prefix block, the unit of the engines' prefix caches.
pub const BLOCK_TOKENS: usize = 256;

/// Estimates the number of tokens of a text; at least 1.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.len() / BYTES_PER_TOKEN).max(1) as u64
}

/// Hash of the first block of a prompt; 0 if the prompt is shorter than a block.
///
/// Prompts with the same hash share at least [`BLOCK_TOKENS`] tokens that an engine may have
/// cached.
pub fn prefix_hash(prompt: &str) -> u64 {
    block_hashes(prompt).next().unwrap_or(0)
}

/// Chained hashes of all complete blocks of a prompt: each covers its block and those before it.
pub fn block_hashes(prompt: &str) -> impl Iterator<Item = u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    blocks.scan(0_u64, |chained, block| {
        *chained = xxh3_64(block) ^ chained.rotate_left(1);
        Some(*chained)
    })
}
