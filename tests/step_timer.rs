//! Tests of the step time that agents measure, and of the load reports that carry it.

use alderbay::{
    experts::{StepNumber, StepTimer},
    routing::{LoadDetail, LoadReport},
    units::Moment,
    wire::{Datagram, DatagramExtension},
};
use googletest::prelude::*;

const POLL_MS: u64 = 50;

/// Polls a group whose steps take `step_ms` from `begin_ms` to `end_ms`.
fn poll(timer: &mut StepTimer, step_ms: u64, is_running: bool, begin_ms: u64, end_ms: u64) {
    for now_ms in (begin_ms..end_ms).step_by(POLL_MS as usize) {
        timer.record(StepNumber(now_ms / step_ms), 1, is_running, Moment(now_ms * 1_000));
    }
}

fn step_ms(timer: &StepTimer, now_ms: u64) -> Option<f64> {
    timer.step_time(Moment(now_ms * 1_000)).map(|it| it.as_secs_f64() * 1_000.0)
}

#[gtest]
fn step_time_is_measured_by_polls_of_any_phase() {
    for expected in [35, 60, 75, 130, 420] {
        let mut timer = StepTimer::default();
        poll(&mut timer, expected, true, 0, 3_000);
        let measured = step_ms(&timer, 2_950).unwrap();
        let error = (measured - expected as f64).abs() / expected as f64;
        expect_that!(error, lt(0.15), "{measured} ms instead of {expected} ms");
    }
}

#[gtest]
fn an_idle_group_has_no_step_time_and_does_not_stall() {
    let mut timer = StepTimer::default();
    poll(&mut timer, 40, true, 0, 1_000);
    for now_ms in (1_000..9_000).step_by(POLL_MS as usize) {
        timer.record(StepNumber(25), 1, false, Moment(now_ms * 1_000));
    }
    expect_that!(step_ms(&timer, 9_000), none());
    expect_that!(timer.is_stalled(Moment(9_000_000)), eq(false));
    // The pause is no step.
    timer.record(StepNumber(26), 1, true, Moment(9_000_000));
    timer.record(StepNumber(27), 1, true, Moment(9_050_000));
    expect_that!(step_ms(&timer, 9_050), some(le(100.0)));
}

#[gtest]
fn a_rank_without_requests_measures_the_steps_of_the_others() {
    let mut timer = StepTimer::default();
    poll(&mut timer, 70, false, 0, 2_000);
    expect_that!(step_ms(&timer, 1_950), some(near(70.0, 10.0)));
}

#[gtest]
fn a_stall_is_told_from_long_steps() {
    let mut timer = StepTimer::default();
    poll(&mut timer, 60, true, 0, 2_000);
    expect_that!(timer.is_stalled(Moment(2_000_000)), eq(false));
    timer.record(StepNumber(32), 1, true, Moment(2_350_000));
    expect_that!(timer.is_stalled(Moment(2_350_000)), eq(true));
    // Steps of a slow group take longer than the time after which a usual one counts as stalled.
    let mut timer = StepTimer::default();
    poll(&mut timer, 420, true, 0, 4_000);
    for now_ms in (4_000..9_000).step_by(POLL_MS as usize) {
        timer.record(StepNumber(now_ms / 420), 1, true, Moment(now_ms * 1_000));
        expect_that!(timer.is_stalled(Moment(now_ms * 1_000)), eq(false), "at {now_ms} ms");
    }
}

#[gtest]
fn a_new_epoch_begins_anew() {
    let mut timer = StepTimer::default();
    poll(&mut timer, 200, true, 0, 2_000);
    timer.record(StepNumber(900), 2, true, Moment(2_000_000));
    expect_that!(step_ms(&timer, 2_000), none());
    timer.record(StepNumber(2), 3, true, Moment(2_050_000));
    timer.record(StepNumber(3), 3, true, Moment(2_100_000));
    expect_that!(step_ms(&timer, 2_100), some(eq(50.0)));
}

#[gtest]
fn a_load_report_is_read_with_and_without_its_detail() {
    let datagram = Datagram::Load {
        server: "127.0.0.1:9000".parse().unwrap(),
        report: LoadReport { running: 3, waiting: 1, is_open: true },
        subscribers: 9,
        gateways: Vec::new(),
    };
    let detail = LoadDetail {
        step_micros: 62_000,
        silent_micros: 20_000,
        is_broken: false,
        used_tokens: 41_000,
        max_tokens: 90_000,
    };
    let extension = DatagramExtension { load: Some(detail), ..DatagramExtension::default() };
    let bytes = datagram.encode_extended(&extension).unwrap();
    let plain = datagram.encode().unwrap();
    // An earlier release reads what it knows; its own report has no detail.
    expect_that!(Datagram::decode(&bytes), some(eq(&datagram)));
    expect_that!(Datagram::decode_extended(&bytes), some(eq(&(datagram.clone(), extension))));
    let without = (datagram, DatagramExtension::default());
    expect_that!(Datagram::decode_extended(&plain), some(eq(&without)));
    println!("load report: {} bytes, with detail {} bytes", plain.len(), bytes.len());
    expect_that!(bytes.len(), le(plain.len() + 24));
}
