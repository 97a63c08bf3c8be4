//! Session tokens: the text that a caller presents is untrusted, and only a token that a VM signed
//! for the caller's workspace may be accepted.

#![allow(clippy::unwrap_used)]

use lycheedoor_core::session::MAX_TOKEN_BYTES;
use lycheedoor_core::session::SessionSecrets;
use lycheedoor_core::session::SessionToken;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::session::TokenError;
use lycheedoor_core::session::Trust;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::SessionId;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;
use proptest::prelude::*;

fn secrets(numbers: &[u8]) -> SessionSecrets {
    let hex: Vec<String> = numbers
        .iter()
        .map(|n| format!("{n:02x}").repeat(32))
        .collect();
    SessionSecrets::from_hex(&hex).unwrap()
}

/// Applies steps to an empty vector: (group, term, log position, kind of step).
fn vector(steps: &[(u8, u64, u64, u8)]) -> SessionVector {
    let mut vector = SessionVector::new();
    for (group, term, log_position, kind) in steps {
        let group = GroupId::from(format!("group-{group}").as_str());
        let position = Position::new(Term(*term), *log_position);
        match kind % 3 {
            0 => vector.raise(&group, position),
            1 => vector.raise_on_primary(&group, position),
            _ => vector.mark_primary_only(&group),
        };
    }
    vector
}

fn token(vector: SessionVector) -> SessionToken {
    SessionToken {
        session: SessionId(u64::MAX - 7),
        stamp: HybridTime {
            physical: WallTime(1_700_000_000_000_000),
            logical: u32::MAX,
        },
        vector,
    }
}

fn steps() -> impl Strategy<Value = Vec<(u8, u64, u64, u8)>> {
    prop::collection::vec((0u8..6, any::<u64>(), any::<u64>(), any::<u8>()), 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against positions that are lost or changed by encoding and decoding.
    #[test]
    fn decoded_token_equals_the_original_and_needs_no_escaping(steps in steps()) {
        let (keys, workspace) = (secrets(&[1]), WorkspaceId::from("alder"));
        let vector = vector(&steps);
        let text = token(vector.clone()).encode(&keys, &workspace).unwrap();
        prop_assert!(text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_'));
        prop_assert_eq!(SessionToken::verify(&keys, &workspace, &text), Ok(token(vector)));
    }

    /// Guards against a forged token that is accepted, and against a panic of the decoder.
    #[test]
    fn changed_token_never_verifies(
        steps in steps(),
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<char>(), 0u8..3), 1..4),
    ) {
        let (keys, workspace) = (secrets(&[1]), WorkspaceId::from("alder"));
        let token = token(vector(&steps)).encode(&keys, &workspace).unwrap();
        let mut text: Vec<char> = token.chars().collect();
        for (index, character, kind) in edits {
            if text.is_empty() {
                break;
            }
            let index = index.index(text.len());
            match kind {
                0 => text[index] = character,
                1 => text.insert(index, character),
                _ => { text.remove(index); }
            }
        }
        let text: String = text.into_iter().collect();
        prop_assume!(text != token);
        prop_assert!(SessionToken::verify(&keys, &workspace, &text).is_err());
    }

    /// Guards against flipped bits that the decoding of the text ignores.
    #[test]
    fn flipped_bit_never_verifies(steps in steps(), at in any::<prop::sample::Index>(), bit in 0u8..7) {
        let (keys, workspace) = (secrets(&[1]), WorkspaceId::from("alder"));
        let mut bytes = token(vector(&steps)).encode(&keys, &workspace).unwrap().into_bytes();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let text = String::from_utf8(bytes).unwrap();
        prop_assert!(SessionToken::verify(&keys, &workspace, &text).is_err());
    }

    /// Guards against a panic of the decoder on text that the encoder cannot have written.
    #[test]
    fn arbitrary_text_gives_a_typed_error(text in ".{0,200}|[A-Za-z0-9_-]{0,300}") {
        let (keys, workspace) = (secrets(&[1]), WorkspaceId::from("alder"));
        prop_assert!(SessionToken::verify(&keys, &workspace, &text).is_err());
    }

    /// Guards against merges that depend on their order or lose a maximum.
    #[test]
    fn merge_is_the_least_upper_bound(a in steps(), b in steps(), c in steps()) {
        let (a, b, c) = (vector(&a), vector(&b), vector(&c));
        let merged = |x: &SessionVector, y: &SessionVector| { let mut z = x.clone(); z.merge(y); z };
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        let both = merged(&a, &b);
        for (group, _) in both.iter() {
            let (x, y, z) = (a.mark(group), b.mark(group), both.mark(group));
            prop_assert_eq!(z.position, x.position.max(y.position));
            prop_assert_eq!(z.trust, x.trust.max(y.trust));
        }
    }
}

/// Guards against accepting tokens of other workspaces, or tokens signed with a secret that is no
/// longer configured.
#[test]
fn token_verifies_only_for_its_workspace_and_current_secrets() {
    let (alder, birch) = (WorkspaceId::from("alder"), WorkspaceId::from("birch"));
    let vector = vector(&[(1, 2, 3, 1)]);
    let token = token(vector);
    let old = token.encode(&secrets(&[1]), &alder).unwrap();
    let verify = |keys: &[u8], workspace| SessionToken::verify(&secrets(keys), workspace, &old);
    assert_eq!(verify(&[2, 1], &alder), Ok(token.clone()));
    assert_eq!(verify(&[2], &alder), Err(TokenError::BadSignature));
    assert_eq!(verify(&[1], &birch), Err(TokenError::OtherWorkspace));
    let new = token.encode(&secrets(&[2, 1]), &alder).unwrap();
    assert!(SessionToken::verify(&secrets(&[2]), &alder, &new).is_ok());
    assert_eq!(format!("{:?}", secrets(&[1])), "SessionSecrets(redacted)");
}

/// Guards against a session that loses read-your-writes because its token exceeds the size limit.
#[test]
fn groups_beyond_the_size_limit_are_read_on_the_primary() {
    let (keys, alder) = (secrets(&[1]), WorkspaceId::from("alder"));
    let mut vector = SessionVector::new();
    let group = |n: u64| GroupId::from(format!("group-with-a-long-name-{n:04}").as_str());
    for n in 0..400 {
        vector.raise_on_primary(&group(n), Position::new(Term(n), u64::MAX - n));
    }
    let text = token(vector.clone()).encode(&keys, &alder).unwrap();
    assert!(text.len() <= MAX_TOKEN_BYTES);
    let decoded = SessionToken::verify(&keys, &alder, &text).unwrap().vector;
    assert_eq!(decoded.mark(&group(0)), vector.mark(&group(0)));
    assert_eq!(decoded.mark(&group(399)).trust, Trust::PrimaryOnly);
    let long = "A".repeat(MAX_TOKEN_BYTES + 1);
    assert_eq!(
        SessionToken::verify(&keys, &alder, &long),
        Err(TokenError::TooLarge)
    );
}

/// Guards against decoding a token of the former layout, whose first bytes would be taken for
/// other fields.
#[test]
fn token_of_the_former_version_is_rejected_as_unknown() {
    // Version 1, workspace "alder", no groups, signed with `secrets(&[1])`.
    let former = "AQVhbGRlcgBKuc4oNbLCI_7jGJ4ZkCGRrv_sgHjTxXd6qFK_vixn2w";
    let verified = SessionToken::verify(&secrets(&[1]), &"alder".into(), former);
    assert_eq!(verified, Err(TokenError::UnknownVersion));
}
