use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::{Intake, IntakeLimits, IntakeSettings, MustGiveWay, OpenConnection};

const CALLER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

const LIMITS: IntakeLimits = IntakeLimits {
    connections: 3,
    body_bytes: 1_000,
    head_bytes: 8_192,
};

/// Time within which nothing that is possible at once takes place any more.
const MOMENT: Duration = Duration::from_millis(100);

async fn is_told_to_close(connection: &OpenConnection) -> bool {
    let told = tokio::time::timeout(MOMENT, connection.must_close());
    told.await.is_ok()
}

#[test]
fn limits_follow_from_the_memory_and_open_files_of_the_vm() {
    let small = IntakeSettings {
        memory_bytes: 160_000_000,
        open_files: 4_100,
        ..IntakeSettings::default()
    };
    let limits = IntakeLimits::new(&small);
    assert!((100..=410).contains(&limits.connections), "{limits:?}");
    let buffers = limits.connections * limits.head_bytes;
    assert!(buffers + limits.body_bytes <= 16_000_000, "{limits:?}");
    let larger = IntakeLimits::new(&IntakeSettings {
        memory_bytes: 512_000_000,
        open_files: 8_192,
        ..small
    });
    assert!(larger.connections > limits.connections && larger.body_bytes > limits.body_bytes);
}

#[test]
fn what_is_set_goes_before_what_follows_from_the_vm() {
    let limits = IntakeLimits::new(&IntakeSettings {
        memory_bytes: 160_000_000,
        connections: 7,
        bytes: 2_000_000,
        head_bytes: 8_192,
        ..IntakeSettings::default()
    });
    assert_eq!((limits.connections, limits.body_bytes), (7, 1_000_000));
    assert_eq!(limits.head_bytes, 8_192);
}

#[tokio::test]
async fn the_connection_that_waits_for_longest_gives_way() {
    let intake = Intake::new(LIMITS);
    let first = intake.admit(CALLER).expect("a place");
    let second = intake.admit(CALLER).expect("a place");
    let third = intake.admit(CALLER).expect("a place");
    first.handle().begin_request();
    let fourth = intake.admit(CALLER).expect("the place of the second");
    assert!(is_told_to_close(&second).await);
    assert!(!is_told_to_close(&first).await, "its request is handled");
    assert!(!is_told_to_close(&third).await && !is_told_to_close(&fourth).await);
    assert_eq!(intake.in_use().closed, 1);
}

#[test]
fn a_connection_is_refused_while_all_others_are_answered() {
    let intake = Intake::new(LIMITS);
    let open: Vec<OpenConnection> = (0..3).filter_map(|_| intake.admit(CALLER)).collect();
    for connection in &open {
        connection.handle().begin_request();
    }
    assert!(intake.admit(CALLER).is_none());
    open[0].handle().end_request();
    assert!(intake.admit(CALLER).is_some());
    assert_eq!(intake.in_use().refused, 1);
}

#[tokio::test]
async fn the_body_that_is_unfinished_for_longest_gives_way() {
    let intake = Intake::new(LIMITS);
    let slow = intake.admit(CALLER).expect("a place");
    slow.handle().begin_body();
    assert_eq!(slow.handle().reserve(600).await, Ok(()));
    let whole = intake.admit(CALLER).expect("a place");
    whole.handle().begin_body();
    assert_eq!(whole.handle().reserve(300).await, Ok(()));
    whole.handle().end_body();
    let new = intake.admit(CALLER).expect("a place");
    new.handle().begin_body();
    let handle = new.handle().clone();
    let reserving = tokio::spawn(async move { handle.reserve(500).await });
    assert!(is_told_to_close(&slow).await);
    assert!(!reserving.is_finished(), "its bytes are still held");
    drop(slow);
    assert_eq!(reserving.await.expect("it ends"), Ok(()));
    assert_eq!(intake.in_use().body_bytes, 800);
    whole.handle().end_request();
    assert_eq!(intake.in_use().body_bytes, 500);
}

#[tokio::test]
async fn a_body_that_is_the_oldest_itself_gives_way() {
    let intake = Intake::new(LIMITS);
    let handled = intake.admit(CALLER).expect("a place");
    handled.handle().begin_body();
    assert_eq!(handled.handle().reserve(700).await, Ok(()));
    handled.handle().end_body();
    let slow = intake.admit(CALLER).expect("a place");
    slow.handle().begin_body();
    assert_eq!(slow.handle().reserve(300).await, Ok(()));
    assert_eq!(slow.handle().reserve(100).await, Err(MustGiveWay));
}

/// How long a body may be is for the configuration to say.
#[tokio::test]
async fn a_body_that_is_alone_is_taken_whatever_its_length() {
    let intake = Intake::new(LIMITS);
    let only = intake.admit(CALLER).expect("a place");
    only.handle().begin_body();
    assert_eq!(only.handle().reserve(900).await, Ok(()));
    assert_eq!(only.handle().reserve(5_000).await, Ok(()));
}
