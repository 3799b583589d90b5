//! Tests of starting, stopping and failing services.

use std::sync::Arc;

use kernel::prelude::*;
use parking_lot::Mutex;

type Steps = Arc<Mutex<Vec<&'static str>>>;

fn service(
    name: ServiceName,
    dependencies: &'static [ServiceName],
    up: &'static str,
    down: &'static str,
    steps: &Steps,
) -> Service {
    let steps = steps.clone();
    Service::new(name, dependencies, move |cx| async move {
        steps.lock().push(up);
        cx.ready();
        cx.stopping().await;
        steps.lock().push(down);
        Ok(())
    })
}

#[tokio::test]
async fn services_start_in_dependency_order_and_stop_in_reverse() {
    let steps = Steps::default();
    let mut kernel = Kernel::new("n".into());
    kernel.add(service("c", &["b"], "c up", "c down", &steps));
    kernel.add(service("a", &[], "a up", "a down", &steps));
    kernel.add(service("b", &["a"], "b up", "b down", &steps));
    let stop = kernel.stop_handle();
    let running = tokio::spawn(kernel.run());
    while steps.lock().len() < 3 {
        tokio::task::yield_now().await;
    }
    stop.cancel();
    running.await.unwrap().unwrap();
    assert_eq!(*steps.lock(), ["a up", "b up", "c up", "c down", "b down", "a down"]);
}

/// Guards against a race found by the soak test (seed 2): a service that ended at once on a stop
/// request was taken for one that ended early, and the process exited with an error.
#[tokio::test]
async fn a_service_that_ends_on_a_stop_request_is_not_reported_as_ended_early() {
    for _ in 0..50 {
        let mut kernel = Kernel::new("n".into());
        kernel.add(Service::new("a", &[], |cx| async move {
            cx.ready();
            cx.process_stopping().await;
            Ok(())
        }));
        let stop = kernel.stop_handle();
        let running = tokio::spawn(kernel.run());
        tokio::task::yield_now().await;
        stop.cancel();
        running.await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn a_panicking_service_is_named_and_the_others_end_cleanly() {
    let steps = Steps::default();
    let mut kernel = Kernel::new("n".into());
    kernel.add(service("a", &[], "a up", "a down", &steps));
    kernel.add(Service::new("b", &["a"], |cx| async move {
        cx.ready();
        panic!("index 7 is past the end")
    }));
    let error = kernel.run().await.unwrap_err();
    assert_eq!(error.to_string(), "service `b` panicked: index 7 is past the end");
    assert_eq!(*steps.lock(), ["a up", "a down"]);
}

#[tokio::test]
async fn unknown_dependencies_duplicates_and_cycles_are_all_reported() {
    let steps = Steps::default();
    let mut kernel = Kernel::new("n".into());
    kernel.add(service("a", &["nowhere"], "", "", &steps));
    kernel.add(service("a", &[], "", "", &steps));
    let error = kernel.run().await.unwrap_err().to_string();
    assert!(error.contains("a: added twice"), "{error}");
    assert!(error.contains("a: depends on service `nowhere`, which was not added"), "{error}");

    let mut kernel = Kernel::new("n".into());
    kernel.add(service("x", &["y"], "", "", &steps));
    kernel.add(service("y", &["x"], "", "", &steps));
    let error = kernel.run().await.unwrap_err().to_string();
    assert!(error.contains("x: is part of a dependency cycle or depends on one"), "{error}");
    assert!(error.contains("y: is part of a dependency cycle or depends on one"), "{error}");
}

#[tokio::test(start_paused = true)]
async fn the_timer_ticks_once_per_period_and_skips_missed_periods() {
    use std::time::Duration;
    let timer = Timer::start();
    let mut ticks = timer.every(Duration::from_secs(1));
    let begun = tokio::time::Instant::now();
    ticks.tick().await;
    ticks.tick().await;
    assert_eq!(begun.elapsed(), Duration::from_secs(2));
    tokio::time::advance(Duration::from_secs(10)).await;
    ticks.tick().await;
    let after_pause = tokio::time::Instant::now();
    ticks.tick().await;
    assert!(after_pause.elapsed() >= Duration::from_millis(500));
    let mut once = timer.after(Duration::from_secs(5));
    once.tick().await;
    assert!(tokio::time::timeout(Duration::from_secs(60), once.tick()).await.is_err());
}

#[tokio::test]
async fn a_full_ring_drops_the_oldest_events_and_keeps_their_numbers() {
    use base::prelude::*;
    let recorder = Recorder::new("n".into(), 2);
    for revision in 0..3 {
        recorder.record(Event::InForce { revision, source: "kv".into() });
    }
    let kept = recorder.since(0);
    assert_eq!(kept.iter().map(|event| event.number).collect::<Vec<_>>(), [1, 2]);
    assert!(kept[0].at < kept[1].at);
}

// Guards against a service that goes on without its background task, which panicked unseen.
#[tokio::test]
async fn a_panic_in_a_background_task_stops_the_process_and_its_service_ends_cleanly() {
    let steps = Steps::default();
    let mut kernel = Kernel::new("n".into());
    kernel.add(service("a", &[], "a up", "a down", &steps));
    let ended = steps.clone();
    kernel.add(Service::new("b", &["a"], |cx| async move {
        cx.ready();
        cx.spawn("reading", async { panic!("index {} is past the end", 7) });
        cx.process_stopping().await;
        ended.lock().push("b finishes");
        cx.stopping().await;
        Ok(())
    }));
    let running = tokio::time::timeout(std::time::Duration::from_secs(10), kernel.run());
    let error = running.await.expect("the process stops").unwrap_err();
    let expected = "task `reading` of service `b` panicked: index 7 is past the end";
    assert_eq!(error.to_string(), expected);
    assert_eq!(*steps.lock(), ["a up", "b finishes", "a down"]);
}
