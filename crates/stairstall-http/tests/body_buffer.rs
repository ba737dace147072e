//! Bodies are collected in one allocation that grows as it was announced.

use stairstall_http::{BodyBuffer, BodyTooLong};

/// Small pieces cost no more than the body's length, doubled at the most.
#[test]
fn small_pieces_take_no_more_than_twice_their_bytes() {
    let mut buffer = BodyBuffer::new(20_000);
    let mut grown = 0;
    let mut length = 0;
    for _ in 0..1_500 {
        grown += buffer.growth_for(10).expect("within the limit");
        buffer.push(&[b' '; 10]).expect("within the limit");
        length += 10;
        assert!(grown >= length && grown <= (2 * length).max(1_024));
    }
    assert_eq!(buffer.into_bytes().len(), 15_000);
}

#[test]
fn a_body_at_its_limit_takes_no_more_than_the_limit() {
    let mut buffer = BodyBuffer::new(3_000);
    let mut grown = 0;
    for _ in 0..3 {
        grown += buffer.growth_for(1_000).expect("within the limit");
        buffer.push(&[b' '; 1_000]).expect("within the limit");
    }
    assert_eq!(grown, 3_000);
    assert_eq!(buffer.growth_for(1), Err(BodyTooLong));
    assert_eq!(buffer.push(b" "), Err(BodyTooLong));
}
