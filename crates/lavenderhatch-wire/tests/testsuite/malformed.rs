//! Malformed messages never panic a reader and never pass as another message.

use capnp::message::ReaderOptions;
use capnp::serialize::read_message_from_flat_slice;
use lavenderhatch_decide::message::ClaimVerdict;
use lavenderhatch_wire::{
    MAX_TRAVERSAL_WORDS, read_answer, read_call, read_claim, read_hello, read_outcome, read_update,
    read_verdict,
};
use proptest::prelude::*;
use proptest::sample::Index;

use crate::messages;

/// Reads bytes as each kind of message, and says which kinds were accepted.
fn read_all(bytes: &[u8]) -> [bool; 7] {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_TRAVERSAL_WORDS));
    let mut rest = bytes;
    let Ok(message) = read_message_from_flat_slice(&mut rest, options) else {
        return [false; 7];
    };
    [
        message
            .get_root()
            .is_ok_and(|root| read_hello(root).is_ok()),
        message.get_root().is_ok_and(|root| read_call(root).is_ok()),
        message
            .get_root()
            .is_ok_and(|root| read_answer(root).is_ok()),
        message
            .get_root()
            .is_ok_and(|root| read_update(root).is_ok()),
        message
            .get_root()
            .is_ok_and(|root| read_claim(root).is_ok()),
        message
            .get_root()
            .is_ok_and(|root| read_verdict(root).is_ok()),
        message
            .get_root()
            .is_ok_and(|root| read_outcome(root).is_ok()),
    ]
}

/// Reads the message of one kind.
macro_rules! read_back {
    ($kind:literal, $read:ident) => {{
        let bytes = &messages::all()[$kind];
        let message = read_message_from_flat_slice(&mut bytes.as_slice(), ReaderOptions::new());
        $read(message.unwrap().get_root().unwrap()).unwrap()
    }};
}

/// Guards against a reader that loses or changes a field.
#[test]
fn messages_read_as_written() {
    assert_eq!(read_back!(0, read_hello), messages::hello());
    assert_eq!(read_back!(1, read_call), messages::call());
    assert_eq!(read_back!(2, read_answer), messages::answer());
    assert_eq!(read_back!(3, read_update), messages::update());
    assert_eq!(read_back!(4, read_claim), messages::claim());
    let verdict = ClaimVerdict::Recorded(messages::recorded());
    assert_eq!(read_back!(5, read_verdict), verdict);
    assert_eq!(read_back!(6, read_outcome), messages::outcome());
}

proptest! {
    /// Guards against a reader that panics on bytes that are no message.
    #[test]
    fn random_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        read_all(&bytes);
    }

    /// Guards against a reader that panics on a message with a valid frame and random content.
    #[test]
    fn random_content_is_read_or_refused(words in prop::collection::vec(any::<u64>(), 1..32)) {
        let mut bytes = vec![0, 0, 0, 0, words.len() as u8, 0, 0, 0];
        bytes.extend(words.iter().flat_map(|word| word.to_le_bytes()));
        read_all(&bytes);
    }

    /// Guards against a reader that panics on a message that was damaged or cut on its way.
    #[test]
    fn mutated_messages_are_read_or_refused(
        kind in any::<Index>(),
        changes in prop::collection::vec((any::<Index>(), any::<u8>()), 1..6),
        cut in prop::option::of(any::<Index>()),
    ) {
        let mut bytes = messages::all().swap_remove(kind.index(7));
        for (at, value) in changes {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        read_all(&bytes);
    }
}
