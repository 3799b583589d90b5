//! Property tests of the encoding, authentication and validation of datagrams.

use member::digest::BUCKETS;
use member::digest::Buckets;
use member::digest::Digest;
use member::packet::Update;
use member::prelude::*;
use member::settings::MAX_DATAGRAM_BYTES;
use proptest::prelude::*;

const OLD: &[u8] = b"a secret that is long enough";
const NEW: &[u8] = b"another one for the rotation";

fn seal(secrets: &[&[u8]]) -> Seal {
    Seal::try_from(secrets).unwrap()
}

fn status() -> impl Strategy<Value = Status> {
    prop_oneof![Just(Status::Alive), Just(Status::Suspect), Just(Status::Dead), Just(Status::Left)]
}

fn location() -> impl Strategy<Value = Location> {
    ("[a-z]{1,64}", "[a-z]{1,64}", any::<([u8; 16], u16, [u8; 4])>()).prop_map(
        |(region, domain, (six, port, four))| Location {
            region: region.into(),
            failure_domain: domain.into(),
            gossip: (six, port).into(),
            peer: (four, port).into(),
        },
    )
}

fn record() -> impl Strategy<Value = MemberRecord> {
    ("[a-z0-9-]{1,64}", any::<u64>(), 0_u64..1 << 56, status(), proptest::option::of(location()))
        .prop_map(|(name, boot, incarnation, status, location)| {
            let instance = Instance { incarnation, boot };
            MemberRecord { name: name.into(), instance, status, location }
        })
}

fn key() -> impl Strategy<Value = FactKey> {
    prop_oneof![
        "[a-z]{0,128}".prop_map(|name| FactKey::GroupDown(name.into())),
        any::<u64>().prop_map(FactKey::Quarantine),
        "[a-z]{0,128}".prop_map(|name| FactKey::Leaving(name.into())),
        Just(FactKey::Revision),
        "[a-z]{0,128}".prop_map(|workspace| FactKey::Usage {
            owner: "node-1".into(),
            workspace: workspace.into(),
        }),
    ]
}

fn fact() -> impl Strategy<Value = Fact> {
    (key(), any::<u64>(), 0_u64..86_400_000, proptest::collection::vec(any::<u8>(), 0..=256))
        .prop_map(|(key, version, lifetime_ms, body)| Fact {
            key,
            owner: "node-1".into(),
            version,
            lifetime: Duration::from_millis(lifetime_ms),
            body: body.into(),
        })
}

fn message() -> impl Strategy<Value = Message> {
    let target = || "[a-z]{1,64}".prop_map(NodeId::from);
    prop_oneof![
        (any::<u32>(), target()).prop_map(|(seq, target)| Message::Ping { seq, target }),
        (any::<u32>(), target()).prop_map(|(seq, target)| Message::Ack { seq, target }),
        (any::<u32>(), target(), any::<([u8; 4], u16)>()).prop_map(|(seq, target, address)| {
            Message::PingRequest { seq, target, address: address.into() }
        }),
        (any::<u32>(), proptest::collection::vec(any::<u32>(), BUCKETS)).prop_map(
            |(salt, hashes)| Message::Compare { digest: Digest { salt, hashes: hashes.into() } }
        ),
        any::<(u32, u128, bool)>().prop_map(|(salt, complete, reply)| Message::Entries {
            salt,
            complete: Buckets(complete),
            reply
        }),
        Just(Message::Gossip),
    ]
}

fn packet() -> impl Strategy<Value = Packet> {
    let update = prop_oneof![record().prop_map(Update::Member), fact().prop_map(Update::Fact)];
    (record(), location(), any::<u64>(), message(), proptest::option::of(update)).prop_map(
        |(mut sender, location, revision, message, update)| {
            sender.location = Some(location);
            let is_digest = matches!(message, Message::Compare { .. });
            let updates = update.into_iter().filter(|_| !is_digest).collect();
            Packet { sender, revision, message, updates }
        },
    )
}

proptest! {
    #[test]
    fn sealed_packet_round_trips(packet in packet()) {
        let mut seal = seal(&[OLD]);
        let datagram = seal.seal(&packet);
        prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(seal.open(&datagram), Ok(packet));
    }

    #[test]
    fn arbitrary_bytes_are_dropped_and_counted(
        bytes in proptest::collection::vec(any::<u8>(), 0..1400),
    ) {
        let mut seal = seal(&[OLD, NEW]);
        let refusal = seal.open(&bytes).unwrap_err();
        prop_assert_eq!(seal.refused(refusal), 1);
        prop_assert_eq!(DropReason::ALL.iter().map(|each| seal.refused(*each)).sum::<u64>(), 1);
        let expected = match bytes.len() {
            0..17 => DropReason::Short,
            17..=1200 if bytes[0] != 1 => DropReason::Foreign,
            17..=1200 => DropReason::Unauthentic,
            _ => DropReason::Oversized,
        };
        prop_assert_eq!(refusal, expected);
    }

    #[test]
    fn decoding_arbitrary_bytes_gives_a_valid_packet_or_an_error(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        if let Ok(packet) = member::wire::decode(&bytes) {
            prop_assert!(packet.sender.location.is_some());
        }
    }

    #[test]
    fn flipped_bit_fails_authentication(packet in packet(), bit in any::<prop::sample::Index>()) {
        let mut seal = seal(&[OLD]);
        let mut datagram = seal.seal(&packet);
        let bit = bit.index(datagram.len() * 8);
        datagram[bit / 8] ^= 1 << (bit % 8);
        let expected = if bit < 8 { DropReason::Foreign } else { DropReason::Unauthentic };
        prop_assert_eq!(seal.open(&datagram), Err(expected));
    }

    #[test]
    fn authentic_packet_out_of_bounds_is_rejected(mut packet in packet(), which in 0..5_usize) {
        match which {
            0 => packet.sender.name = "x".repeat(65).into(),
            1 => packet.sender.instance.incarnation = 1 << 56,
            2 => packet.sender.location = None,
            3 => packet.message = Message::Ping { seq: 1, target: "".into() },
            _ => packet.updates = vec![Update::Fact(Fact {
                key: FactKey::Usage { owner: "node-1".into(), workspace: "w".into() },
                owner: "node-2".into(),
                version: 1,
                lifetime: Duration::from_secs(1),
                body: Box::default(),
            })],
        }
        let mut seal = seal(&[OLD]);
        let datagram = seal.seal(&packet);
        prop_assert_eq!(seal.open(&datagram), Err(DropReason::Malformed));
    }

    #[test]
    fn old_and_new_secrets_interoperate_during_rotation(packet in packet()) {
        let stages = [seal(&[OLD]), seal(&[OLD, NEW]), seal(&[NEW, OLD]), seal(&[NEW])];
        for pair in stages.windows(2) {
            let (mut before, mut after) = (pair[0].clone(), pair[1].clone());
            let (from_before, from_after) = (before.seal(&packet), after.seal(&packet));
            prop_assert!(after.open(&from_before).is_ok());
            prop_assert!(before.open(&from_after).is_ok());
        }
        let mut last = stages[3].clone();
        prop_assert_eq!(last.open(&stages[0].seal(&packet)), Err(DropReason::Unauthentic));
    }
}

#[test]
fn invalid_secrets_are_rejected_without_being_printed() {
    let findings = Seal::try_from(&[b"short".as_slice(), OLD, NEW][..]).unwrap_err();
    let text = findings.to_string();
    assert!(text.contains("secrets: 3 secrets are not one or two"), "{text}");
    assert!(text.contains("secrets[0]: shorter than 16 bytes"), "{text}");
    assert!(!text.contains("short\""), "{text}");
    assert!(!format!("{:?}", seal(&[OLD])).contains("secret"));
}
