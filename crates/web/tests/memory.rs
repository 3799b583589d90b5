//! Tests of the budget of bytes in bodies.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use volo_http::body::Body;
use web::body;
use web::memory::SMALL_GRANT_BYTES;
use web::prelude::*;

const CAPACITY: usize = 4 << 20;
const LARGE: usize = 256 << 10;

/// Takes grants of `bytes` for `holder` until the budget has no more.
fn take_all(budget: &ByteBudget, holder: &str, bytes: usize) -> Vec<Grant> {
    let take = || {
        let mut grant = budget.grant(holder);
        grant.grow(bytes).ok().map(|()| grant)
    };
    std::iter::from_fn(take).collect()
}

// Guards against large bodies that leave no memory for small ones.
#[test]
fn large_grants_leave_a_part_for_small_ones() {
    let budget = ByteBudget::new(CAPACITY);
    let holders: Vec<String> = (0..100).map(|number| format!("w{number}")).collect();
    let large: Vec<_> = holders.iter().flat_map(|w| take_all(&budget, w, LARGE)).collect();
    assert!(!large.is_empty());
    let small = take_all(&budget, "small", SMALL_GRANT_BYTES);
    assert!(small.len() * SMALL_GRANT_BYTES >= CAPACITY / 4, "{} small grants", small.len());
}

// Guards against one holder that keeps all others out.
#[test]
fn a_holder_of_large_grants_leaves_some_for_another_one() {
    let budget = ByteBudget::new(CAPACITY);
    let first = take_all(&budget, "first", LARGE);
    let second = take_all(&budget, "second", LARGE);
    assert!(first.len() >= 6, "{} grants", first.len());
    assert!(!second.is_empty());
    drop(first);
    assert!(take_all(&budget, "second", LARGE).len() >= 4);
}

// Guards against bytes that count as held for ever, or as free while someone still reads them.
#[test]
fn bytes_are_given_back_with_their_last_reference() {
    let budget = ByteBudget::new(CAPACITY);
    let mut buf = Buffer::new(budget.grant("w"));
    buf.push(&[1; 5_000]).expect("there is memory");
    let bytes = buf.freeze();
    assert!(budget.granted() >= 5_000);
    let part = bytes.slice(4_999..);
    drop(bytes);
    assert!(budget.granted() >= 5_000);
    drop(part);
    assert_eq!(budget.granted(), 0);
}

// Guards against a buffer that loses what it holds when there is no memory for more.
#[test]
fn a_chunk_that_doesnt_fit_leaves_the_buffer_as_it_is() {
    let budget = ByteBudget::new(10_000);
    let mut buf = Buffer::new(budget.grant("w"));
    buf.push(&[1; 6_000]).expect("there is memory");
    assert_eq!(buf.push(&[2; 6_000]), Err(OutOfMemory));
    buf.push(&[3; 4_000]).expect("there is memory for this");
    let bytes = buf.freeze();
    assert_eq!((bytes.len(), bytes[5_999], bytes[6_000]), (10_000, 1, 3));
}

// Guards against reading a body for which there is no memory, or that is too large.
#[tokio::test]
async fn a_body_that_says_its_length_is_refused_before_it_is_read() {
    let budget = ByteBudget::new(1_000);
    let body = Body::from(Bytes::from(vec![0; 2_000]));
    let read = body::read_granted(body, 4_000, budget.grant("w")).await;
    assert_eq!(read, Err(GrantedBodyError::OutOfMemory));
    let body = Body::from(Bytes::from(vec![0; 2_000]));
    let read = body::read_granted(body, 500, budget.grant("w")).await;
    assert_eq!(read, Err(BodyError::TooLarge { limit: 500 }.into()));
    let body = Body::from(Bytes::from(vec![7; 900]));
    let read = body::read_granted(body, 4_000, budget.grant("w")).await;
    assert_eq!(read, Ok(Bytes::from(vec![7; 900])));
}

// Guards against a reader that takes nothing and makes its writer hold a queue of large chunks.
#[tokio::test]
async fn a_writer_of_large_chunks_waits_for_its_reader() {
    let (tx, mut body) = body::stream(());
    let chunk = Bytes::from(vec![0; LARGE]);
    assert!(tx.send(chunk.clone()).await);
    let waits = tokio::time::timeout(Duration::from_millis(50), tx.send(chunk.clone())).await;
    assert!(waits.is_err(), "a second large chunk is queued");
    let first = body::next_chunk(&mut body).await.expect("a chunk").expect("no problem");
    assert_eq!(first.len(), LARGE);
    drop(first);
    assert!(tx.send(chunk.clone()).await);
    drop(body);
    assert!(!tx.send(chunk).await, "the reader has been dropped");
}

// Guards against a slow reader that keeps its writer waiting while there is memory, and against one that
// takes memory that others need.
#[tokio::test]
async fn a_slow_reader_borrows_only_memory_that_nobody_needs() {
    const CHUNK: usize = 60 << 10;
    let sent = async |budget: &ByteBudget| {
        let (tx, body) = body::stream_of_large_chunks();
        let tx = tx.with_lender(budget.clone(), "w");
        let mut chunks = 0;
        let sending = async {
            while tx.send(vec![0; CHUNK]).await {
                chunks += 1;
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(50), sending).await;
        drop(body);
        chunks
    };
    let budget = ByteBudget::new(CAPACITY);
    let ample = sent(&budget).await;
    assert!((17..=20).contains(&ample), "{ample} chunks beside an empty budget");
    assert_eq!(budget.granted(), 0);
    let others = take_all(&budget, "others", LARGE);
    assert_eq!(sent(&budget).await, 2);
    drop(others);
}

proptest! {
    // Guards against grants beyond the budget, and against bytes that are not given back.
    #[test]
    fn grants_never_exceed_the_budget(steps in proptest::collection::vec(
        (0_usize..5, 0_usize..500_000, any::<bool>()), 1..60,
    )) {
        let budget = ByteBudget::new(CAPACITY);
        let mut grants: Vec<(Grant, usize)> = Vec::new();
        for (holder, bytes, is_dropped) in steps {
            if is_dropped && !grants.is_empty() {
                grants.swap_remove(bytes % grants.len());
            } else {
                let mut grant = budget.grant(&holder.to_string());
                if grant.grow(bytes).is_ok() {
                    grants.push((grant, bytes));
                }
            }
            let held: usize = grants.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.granted(), held);
            prop_assert!(held <= CAPACITY);
        }
        drop(grants);
        prop_assert_eq!(budget.granted(), 0);
    }
}
