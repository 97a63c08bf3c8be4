//! Messages between VMs must decode from any split of the bytes, and malformed bytes must cause an
//! error that ends only their connection.

use lycheedoor_core::config::ConfigMessage;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::VmId;
use lycheedoor_core::vm::PeerMessage;
use lycheedoor_peer::Confirmation;
use lycheedoor_peer::Envelope;
use lycheedoor_peer::EnvelopeView;
use lycheedoor_peer::PeerClientCodec;
use lycheedoor_peer::PeerServerCodec;
use lycheedoor_peer::encode_answer;
use lycheedoor_peer::encode_confirmation;
use lycheedoor_peer::encode_message;
use proptest::prelude::*;

const CLOCK: HybridTime = HybridTime {
    physical: WallTime(99),
    logical: 3,
};

fn encoded_pull(version: u64) -> Vec<u8> {
    encode_message(&EnvelopeView {
        from: &VmId::from("vm-1"),
        incarnation: Incarnation(7),
        clock: CLOCK,
        message: &PeerMessage::Config(ConfigMessage::Pull { version }),
    })
    .unwrap_or_default()
}

/// Guards against messages that are lost, reordered or not confirmed when their bytes arrive in
/// pieces.
#[test]
fn messages_arrive_in_order_and_are_confirmed() {
    let mut server = PeerServerCodec::default();
    let mut client = PeerClientCodec::default();
    let bytes = [encoded_pull(1), encoded_pull(2)].concat();
    let mut out = Vec::new();
    let mut decoded_messages: Vec<PeerMessage> = Vec::new();
    for byte in bytes {
        server.extend(&[byte]);
        if let Some(envelope) = server.next_message(&mut out).unwrap() {
            assert_eq!(envelope.from, VmId::from("vm-1"));
            assert_eq!(
                (envelope.incarnation, envelope.clock),
                (Incarnation(7), CLOCK)
            );
            decoded_messages.push(envelope.message);
            encode_confirmation(&mut out);
        }
    }
    let expected = [1, 2].map(|version| PeerMessage::Config(ConfigMessage::Pull { version }));
    assert_eq!(decoded_messages, expected);
    client.extend(&out);
    for expected in [
        Some(Confirmation::Accepted),
        Some(Confirmation::Accepted),
        None,
    ] {
        assert_eq!(client.next_confirmation::<PeerMessage>().unwrap(), expected);
    }
}

/// Guards against answers that are lost or reordered between confirmations without an answer.
#[test]
fn answers_arrive_in_the_order_of_the_messages() {
    let answer = PeerMessage::Config(ConfigMessage::Pull { version: 4 });
    let envelope = EnvelopeView {
        from: &VmId::from("vm-2"),
        incarnation: Incarnation(8),
        clock: CLOCK,
        message: &answer,
    };
    let mut out = Vec::new();
    encode_confirmation(&mut out);
    encode_answer(&mut out, &envelope).unwrap();
    encode_confirmation(&mut out);
    let mut client = PeerClientCodec::default();
    let mut received = Vec::new();
    for byte in out {
        client.extend(&[byte]);
        received.extend(client.next_confirmation::<PeerMessage>().unwrap());
    }
    let expected = Confirmation::Answered(Envelope {
        from: VmId::from("vm-2"),
        incarnation: Incarnation(8),
        clock: CLOCK,
        message: answer,
    });
    assert_eq!(
        received,
        [Confirmation::Accepted, expected, Confirmation::Accepted]
    );
}

/// Guards against invalid requests that are accepted or closed without a response.
#[test]
fn other_requests_and_bodies_are_rejected_with_a_response() {
    for request in [
        "GET /peer HTTP/1.1\r\n\r\n",
        "POST /other HTTP/1.1\r\n\r\n",
        "POST /peer HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}",
        "POST /peer HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n",
    ] {
        let mut server = PeerServerCodec::default();
        let mut out = Vec::new();
        server.extend(request.as_bytes());
        assert!(
            server.next_message::<PeerMessage>(&mut out).is_err(),
            "{request}"
        );
        let mut client = PeerClientCodec::default();
        client.extend(&out);
        assert!(client.next_confirmation::<PeerMessage>().is_err());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Guards against panics on malformed messages and confirmations.
    #[test]
    fn mutated_messages_never_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = encoded_pull(5);
        for (index, byte) in changes {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        let mut server = PeerServerCodec::default();
        let mut out = Vec::new();
        server.extend(&bytes);
        while let Ok(Some(_)) = server.next_message::<PeerMessage>(&mut out) {}
        let mut client = PeerClientCodec::default();
        client.extend(&bytes);
        while let Ok(Some(_)) = client.next_confirmation::<PeerMessage>() {}
    }
}
