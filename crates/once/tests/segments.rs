//! Tests of request keys, segments and their validation, settings, group commit, and the answer
//! cache.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::Findings;
use once::group_commit::Action;
use once::group_commit::BURST_WRITES;
use once::group_commit::Event;
use once::group_commit::GroupCommit;
use once::key::answer_digest;
use once::key::fingerprint;
use once::prelude::*;
use once::segment::CLAIM_BYTES;
use once::segment::RawSegment;
use once::settings::SegmentId;
use proptest::prelude::*;

fn states() -> impl Strategy<Value = ClaimState> {
    prop_oneof![
        Just(ClaimState::Claimed),
        any::<u64>().prop_map(|digest| ClaimState::Ended(RequestOutcome::Done { digest })),
        Just(ClaimState::Ended(RequestOutcome::Failed)),
        Just(ClaimState::Ended(RequestOutcome::Unknown)),
        Just(ClaimState::Ended(RequestOutcome::Released)),
    ]
}

fn claims() -> impl Strategy<Value = Claim> {
    (any::<u128>(), any::<u64>(), 1..u64::MAX, any::<u64>(), states()).prop_map(
        |(key, fingerprint, boot, attempt, state)| Claim {
            key,
            fingerprint,
            holder: ClaimId { boot, attempt },
            state,
        },
    )
}

proptest! {
    #[test]
    fn segment_round_trips_through_json(mut claims in proptest::collection::vec(claims(), 0..20)) {
        claims.sort_by_key(|claim| claim.key);
        claims.dedup_by_key(|claim| claim.key);
        let segment = Segment { slot: 7, sealed: true, claims };
        let text = serde_json::to_string(&segment).expect("JSON");
        prop_assert!(text.len() <= 64 + segment.claims.len() * CLAIM_BYTES, "{}", text.len());
        prop_assert_eq!(serde_json::from_str::<Segment>(&text).expect("a segment"), segment);
    }

    #[test]
    fn parsing_arbitrary_text_gives_a_claim_or_an_error(text in "[0-9a-f.dcu-]{0,120}") {
        if let Ok(claim) = text.parse::<Claim>() {
            prop_assert_eq!(claim.to_string().parse::<Claim>(), Ok(claim));
        }
    }
}

#[test]
fn every_invalid_claim_of_a_segment_is_reported() {
    let claim =
        |key: u32, boot: u32| format!("{key:032x}.{:016x}.{boot:016x}-1.c", 0).into_boxed_str();
    let raw = RawSegment {
        slot: 1,
        sealed: false,
        claims: vec![claim(2, 1), claim(2, 1), "x.y".into(), claim(1, 0)],
    };
    let findings = Segment::try_from(raw).unwrap_err();
    let places: Vec<&str> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["$.claims[2]", "$.claims[1]", "$.claims[2]", "$.claims[2]"]);
}

#[test]
fn request_keys_are_validated_and_hashed_with_their_workspace() {
    let raw = |key, issued_ms| RequestKey::try_from(RawKey { workspace: "w", key, issued_ms });
    assert_eq!(raw("17-a", None).expect("a key").issued_ms, 17);
    assert_eq!(raw("a", Some("18")).expect("a key").issued_ms, 18);
    let findings = raw("\u{e9}", None).unwrap_err();
    assert_eq!(findings.len(), 2, "{findings}");
    let other = RequestKey { workspace: "v".into(), ..raw("17-a", None).expect("a key") };
    assert_ne!(raw("17-a", None).expect("a key").hash(), other.hash());
    assert_ne!(fingerprint("POST", "/a", b"b"), fingerprint("POST", "/", b"ab"));
}

#[test]
fn every_invalid_setting_is_reported() {
    let mut findings = Findings::default();
    let layout = Layout { shards: 0, slot_ms: 1_000, ring_slots: 3 };
    let cfg = OnceSettings { layout, claim_timeout_ms: 100, ..OnceSettings::default() };
    cfg.check("$.once", &mut findings);
    let places: Vec<&str> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(
        places,
        ["$.once.layout.shards", "$.once.layout.ring_slots", "$.once.flush_period_ms"]
    );
    let mut findings = Findings::default();
    OnceSettings::default().check("$.once", &mut findings);
    assert!(findings.is_empty(), "{findings}");
}

fn claim(key: u128) -> Entry {
    Entry::Claim { key, fingerprint: 1, holder: ClaimId { boot: 1, attempt: 1 } }
}

fn arrived(ticket: u64, slot: u64, delay: Duration) -> Event {
    Event::Arrived { segment_id: SegmentId { shard: 0, slot }, ticket, entry: claim(1), delay }
}

fn flushed(actions: &[Action]) -> Vec<u64> {
    let batch = actions.iter().filter_map(|action| match action {
        Action::Flush { batch, .. } => Some(batch.iter().map(|(ticket, _)| *ticket)),
        _ => None,
    });
    batch.flatten().collect()
}

#[test]
fn write_rate_of_a_shard_is_bounded_by_the_flush_period() {
    let period = Duration::from_millis(100);
    let cfg = OnceSettings { flush_period_ms: 100, ..OnceSettings::default() };
    let mut group_commit = GroupCommit::new(&cfg);
    let mut starts = Vec::new();
    // The shard is idle before the first claim. Then claims arrive continuously.
    for ms in 1_000..4_000 {
        let now = Duration::from_millis(ms);
        let mut actions = group_commit.decide(arrived(ms, 5, Duration::ZERO), now);
        actions.extend(group_commit.decide(Event::Woken, now));
        if !flushed(&actions).is_empty() {
            starts.push(now);
            group_commit.decide(Event::WriteEnded { shard: 0 }, now);
        }
    }
    assert_eq!(starts.iter().filter(|at| **at < Duration::from_millis(1_010)).count(), 4);
    for (i, first) in starts.iter().enumerate() {
        for (more, last) in starts[i..].iter().enumerate() {
            let most = (*last - *first).as_millis() / period.as_millis() + u128::from(BURST_WRITES);
            assert!(more as u128 <= most, "{more} more writes from {first:?} to {last:?}");
        }
    }
    assert!(starts.len() > 30, "{} writes", starts.len());
}

#[test]
fn idle_shard_writes_immediately_and_busy_shard_batches() {
    let cfg = OnceSettings { flush_period_ms: 100, ..OnceSettings::default() };
    let mut group_commit = GroupCommit::new(&cfg);
    let ms = Duration::from_millis;
    for ticket in 100..100 + u64::from(BURST_WRITES) - 1 {
        assert_eq!(flushed(&group_commit.decide(arrived(ticket, 5, ms(0)), ms(0))), [ticket]);
        group_commit.decide(Event::WriteEnded { shard: 0 }, ms(0));
    }
    assert_eq!(flushed(&group_commit.decide(arrived(1, 5, ms(0)), ms(0))), [1]);
    assert_eq!(group_commit.decide(arrived(2, 5, ms(0)), ms(1)), []);
    let actions = group_commit.decide(Event::WriteEnded { shard: 0 }, ms(3));
    assert_eq!(actions, [Action::WakeAt(ms(100))]);
    assert_eq!(group_commit.decide(arrived(3, 6, ms(0)), ms(4)), [Action::WakeAt(ms(100))]);
    assert_eq!(group_commit.decide(arrived(4, 5, ms(0)), ms(5)), [Action::WakeAt(ms(100))]);
    assert_eq!(flushed(&group_commit.decide(Event::Woken, ms(100))), [2, 4]);
    group_commit.decide(Event::WriteEnded { shard: 0 }, ms(103));
    assert_eq!(flushed(&group_commit.decide(Event::Woken, ms(200))), [3]);
    assert_eq!(group_commit.waiting(), 0);
}

#[test]
fn report_is_delayed_to_share_a_write_with_a_claim() {
    let mut group_commit = GroupCommit::new(&OnceSettings::default());
    let ms = Duration::from_millis;
    let report = group_commit.decide(arrived(1, 5, ms(500)), ms(0));
    assert_eq!(report, [Action::WakeAt(ms(500))]);
    assert_eq!(flushed(&group_commit.decide(arrived(2, 5, ms(0)), ms(10))), [1, 2]);
}

#[test]
fn full_queue_rejects_entries() {
    let mut group_commit = GroupCommit::new(&OnceSettings::default());
    let hour = Duration::from_secs(3_600);
    for ticket in 0..once::group_commit::MAX_WAITING_ENTRIES as u64 {
        group_commit.decide(arrived(ticket, 5, hour), Duration::ZERO);
    }
    let refused = group_commit.decide(arrived(99_999, 5, hour), Duration::ZERO);
    assert_eq!(refused, [Action::Refuse { ticket: 99_999 }]);
}

#[test]
fn answer_cache_is_bounded_and_checks_digests() {
    let mut cache = AnswerCache::new(10);
    let first: Arc<[u8]> = Arc::from(&b"123456"[..]);
    let cached = |answer: &[u8]| CachedAnswer { fingerprint: 9, answer: answer.into() };
    cache.insert(1, cached(&first));
    assert_eq!(cache.get(1, answer_digest(&first)), Some(first.clone()));
    assert_eq!(cache.get(1, answer_digest(b"other")), None);
    assert_eq!(cache.find(1).map(|cached| cached.fingerprint), Some(9));
    cache.insert(2, cached(b"654321"));
    assert_eq!(cache.find(1), None);
    assert_eq!(cache.get(1, answer_digest(&first)), None);
    assert_eq!(cache.bytes(), 6);
}

#[test]
fn full_segment_rejects_new_claims() {
    let row = |key: usize| Claim {
        key: key as u128,
        fingerprint: 1,
        holder: ClaimId { boot: 1, attempt: 1 },
        state: ClaimState::Claimed,
    };
    let claims: Vec<Claim> = (0..once::segment::MAX_CLAIMS).map(row).collect();
    let segment = Segment { slot: 0, sealed: false, claims };
    let cfg = OnceSettings::default();
    let applied = once::apply::apply(Some(&segment), 0, &[claim(u128::MAX)], 0, &cfg);
    assert_eq!(applied.verdicts, [Verdict::Full]);
    assert!(applied.next.is_none());
    let text = serde_json::to_string(&segment).expect("JSON");
    assert!(text.len() < 1 << 20, "{} bytes", text.len());
}
