//! Tenant keys: a key must never be printed, and only its own digest may match it.

use lycheedoor_core::config::Config;
use lycheedoor_core::config::KeyDigest;
use lycheedoor_core::config::TenantKey;

/// Guards against keys or digests in log lines and panic messages.
#[test]
fn key_and_digest_are_redacted_in_debug_output() {
    let key = TenantKey::new("very-secret");
    assert_eq!(
        format!("{key:?} {:?}", key.digest()),
        "TenantKey(redacted) KeyDigest(redacted)"
    );
}

/// Guards against a digest that changes when the configuration is written and read, or that is
/// parsed from malformed text.
#[test]
fn digest_round_trips_through_text_and_rejects_other_text() {
    let digest = TenantKey::new("a").digest();
    let text = String::from(digest);
    assert_eq!(KeyDigest::try_from(text.clone()), Ok(digest));
    assert!(KeyDigest::try_from(text.to_uppercase()).is_err());
    assert_ne!(TenantKey::new("b").digest(), digest);
}

/// Guards against secrets in log lines and panic messages that print a configuration.
#[test]
fn configuration_prints_neither_secrets_nor_digests() {
    let digest = String::from(TenantKey::new("very-secret").digest());
    let text = format!(
        r#"{{"version": 3, "workspaces": {{"acme": {{"keys": ["{digest}"], "rate_per_s": 1,
            "burst": 1, "weight": 1}}}}, "routes": {{}}, "groups": {{}}, "data_centres": {{}},
            "session_secrets": ["c0ffee11c0ffee22", "c0ffee33c0ffee44"]}}"#
    );
    let config: Config = serde_json::from_str(&text).unwrap();
    for shown in [format!("{config:?}"), format!("{config:#?}")] {
        assert!(
            shown.contains("2 redacted") && shown.contains("acme"),
            "{shown}"
        );
        assert!(!shown.contains("c0ffee"), "{shown}");
        assert!(
            !shown.contains(digest.trim_start_matches("sha256:")),
            "{shown}"
        );
    }
}
