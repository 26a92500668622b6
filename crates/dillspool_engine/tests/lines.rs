//! Line splitting doesn't depend on chunk boundaries, and its memory is bounded; prefix hashes of prompts.

use bytes::Bytes;
use dillspool_cases::fixed_cases;
use dillspool_engine::{LineBuffer, block_hashes, estimate_tokens, prefix_hash};
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed_cases(512))]

    #[test]
    fn lines_do_not_depend_on_chunk_boundaries(text in "[a-c\n]{0,80}", cuts in proptest::collection::vec(1_usize..10, 0..40)) {
        let mut buffer = LineBuffer::default();
        let mut lines = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter();
        while !rest.is_empty() {
            let size = cuts.next().unwrap_or(rest.len()).min(rest.len());
            let (chunk, after) = rest.split_at(size);
            prop_assert!(buffer.push(&Bytes::copy_from_slice(chunk)));
            while let Some(line) = buffer.next_line() {
                lines.push(String::from_utf8_lossy(&line).into_owned());
            }
            rest = after;
        }
        let mut expected: Vec<&str> = text.split('\n').collect();
        expected.pop();
        prop_assert_eq!(lines, expected);
    }
}

#[test]
fn a_line_over_the_maximum_length_is_rejected() {
    let mut buffer = LineBuffer::default();
    let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
    let accepted = (0..100).take_while(|_| buffer.push(&chunk)).count();
    assert!(accepted < 8, "{accepted} chunks of 64 KiB were accepted");
}

#[test]
fn prompts_with_the_same_first_block_have_the_same_prefix_hash() {
    let shared = "s".repeat(1024);
    assert_eq!(prefix_hash(&format!("{shared}one")), prefix_hash(&format!("{shared}two")));
    assert_ne!(prefix_hash(&shared), prefix_hash(&"t".repeat(1024)));
    assert_eq!(prefix_hash("short"), 0);
    assert_eq!(block_hashes(&"s".repeat(4096)).count(), 4);
    assert_eq!(estimate_tokens(""), 1);
}
