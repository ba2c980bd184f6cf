//! Calls that were set aside because their servers were silent: what such a server says, and how it
//! ends, counts as if the call had been the request's current one.

use alderbay::{
    routing::{
        AnswerProgress, AttemptResult, RequestNumber, RouteKind, RoutingEffect, RoutingEvent,
        RoutingRequest,
    },
    units::WeightVersion,
};
use googletest::prelude::*;

use crate::gateway_routing::{SECOND_US, TestGateway, request, server, server_of};

const NUMBER: RequestNumber = RequestNumber(500);

fn suspicious_request() -> RoutingRequest {
    RoutingRequest {
        shared_parts: vec!["5a".into(), "bad0".into()],
        weight_version: Some(WeightVersion(1)),
        ..request(NUMBER)
    }
}

/// Starts a gateway and a request with suspicious parts, whose server is returned.
fn start() -> (TestGateway, String) {
    let servers = vec![server(1, "a"), server(2, "a"), server(3, "a")];
    let mut gateway = TestGateway::new(RouteKind::ResumableStream, servers);
    let arrival = RoutingEvent::RequestArrived(suspicious_request());
    let id = server_of(&gateway.dispatch_for_effect(arrival)).unwrap();
    (gateway, id)
}

fn stall(gateway: &mut TestGateway) {
    let (result, progress) = (AttemptResult::Stalled, AnswerProgress::Nothing);
    gateway.dispatch(RoutingEvent::AttemptEnded { number: NUMBER, result, progress });
}

/// Ends the first attempt, as the current one or after it was set aside.
fn end_first(
    gateway: &mut TestGateway,
    is_set_aside: bool,
    (result, progress): (AttemptResult, AnswerProgress),
) -> Vec<RoutingEffect> {
    if !is_set_aside {
        let ended = RoutingEvent::AttemptEnded { number: NUMBER, result, progress };
        return gateway.dispatch(ended);
    }
    stall(gateway);
    let ended = RoutingEvent::SilentAttemptEnded { number: NUMBER, attempt: 1, result, progress };
    gateway.dispatch(ended)
}

/// Guards against servers that end under a request without a trace, as their calls were set aside.
#[gtest]
fn end_of_set_aside_call_is_recorded() {
    for progress in [AnswerProgress::Nothing, AnswerProgress::Begun, AnswerProgress::Head] {
        for is_set_aside in [false, true] {
            let case = format!("{progress:?}, set aside: {is_set_aside}");
            let (mut gateway, id) = start();
            let effects = end_first(&mut gateway, is_set_aside, (AttemptResult::Lost, progress));
            let is_probe = |it: &RoutingEffect| matches!(it, RoutingEffect::ProbeServer { server, .. } if server.as_str() == id);
            expect_that!(effects.iter().any(is_probe), eq(true), "{case}: {effects:?}");
            let probed =
                RoutingEvent::ServerProbed { server: id.parse().unwrap(), has_ended: true };
            gateway.dispatch(probed);
            expect_that!(gateway.state.quarantine().is_empty(), eq(false), "{case}");
        }
    }
}

/// Guards against new requests to a server at whose address another one answered a call that was set
/// aside, or whose weights are not those that the request needs.
#[gtest]
fn refusal_of_set_aside_call_is_noted() {
    for result in [AttemptResult::WrongServer, AttemptResult::OtherWeights] {
        for is_set_aside in [false, true] {
            let (mut gateway, id) = start();
            end_first(&mut gateway, is_set_aside, (result, AnswerProgress::Head));
            gateway.dispatch(RoutingEvent::RequestEnded(NUMBER));
            gateway.now += SECOND_US;
            for n in 0..40 {
                let number = RequestNumber(NUMBER.0 + 1 + n);
                let request = RoutingRequest {
                    number,
                    request_id: format!("q-{n}").parse().unwrap(),
                    ..suspicious_request()
                };
                let effect = gateway.dispatch_for_effect(RoutingEvent::RequestArrived(request));
                expect_that!(
                    server_of(&effect),
                    some(not(eq(&id))),
                    "{result:?}, set aside: {is_set_aside}"
                );
                gateway.end_attempt(number, AttemptResult::Answered);
                gateway.dispatch(RoutingEvent::RequestEnded(number));
            }
        }
    }
}
