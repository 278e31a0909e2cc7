use super::*;
use crate::call::response;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn calls_are_parsed_or_rejected_with_a_4xx() {
    assert_eq!(parse_request("GET", "/status"), Ok(AdminRequest::Status));
    assert_eq!(parse_request("POST", "/maintenance/enter?target=e-3"), Ok(AdminRequest::Enter("e-3".into())));
    assert_eq!(
        parse_request("POST", "/maintenance/exit?x=1&target=e-3"),
        Ok(AdminRequest::Exit("e-3".into()))
    );
    assert_eq!(parse_request("GET", "/standby").unwrap_err().code, 405);
    assert_eq!(parse_request("POST", "/nothing").unwrap_err().code, 404);
    assert_eq!(parse_request("POST", "/maintenance/enter").unwrap_err().code, 400);
    assert_eq!(parse_request("POST", "/maintenance/enter?target=").unwrap_err().code, 400);
}

#[test]
fn unlisted_endpoint_is_rejected_and_repeated_calls_have_no_effect() {
    let mut maintenance = MaintenanceState::default();
    let (rejection, _) = maintenance.handle(AdminRequest::Enter("a".into()), ms(0));
    assert_eq!(rejection.code, 404);
    maintenance.record_listed_endpoint("a");
    assert_eq!(
        maintenance.handle(AdminRequest::Enter("a".into()), ms(0)),
        (response(200, "out"), Change::EndpointOut("a".into()))
    );
    assert_eq!(maintenance.handle(AdminRequest::Enter("a".into()), ms(1)).1, Change::None);
    assert!(maintenance.is_in_maintenance("a"));
    assert_eq!(maintenance.handle(AdminRequest::Exit("a".into()), ms(2)).1, Change::EndpointBack("a".into()));
    assert_eq!(
        maintenance.handle(AdminRequest::Exit("a".into()), ms(3)),
        (response(200, "was not out"), Change::None)
    );
    assert!(!maintenance.is_in_maintenance("a"));
}

#[test]
fn endpoints_in_maintenance_are_restored_from_their_text() {
    let mut maintenance = MaintenanceState::default();
    for id in ["b", "a"] {
        maintenance.record_listed_endpoint(id);
    }
    maintenance.handle(AdminRequest::Enter("b".into()), ms(0));
    maintenance.handle(AdminRequest::Enter("a".into()), ms(0));
    let mut again = MaintenanceState::from_text(&maintenance.to_text());
    assert!(again.is_in_maintenance("a") && again.is_in_maintenance("b"));
    // A restored endpoint is known, so its maintenance can end before the first list arrives.
    assert_eq!(again.handle(AdminRequest::Exit("a".into()), ms(0)).0.code, 200);
}

#[test]
fn standby_fails_pings_and_closes_client_connections() {
    let mut maintenance = MaintenanceState::default();
    assert_eq!(maintenance.handle(AdminRequest::Status, ms(0)).0.code, 503);
    maintenance.set_serving();
    assert_eq!(maintenance.handle(AdminRequest::Status, ms(0)).0.code, 200);
    assert!(maintenance.should_answer_ping() && maintenance.idle_close_at(ms(0)).is_none());
    assert_eq!(maintenance.handle(AdminRequest::Standby, ms(1_000)).1, Change::Standby);
    assert!(!maintenance.should_answer_ping());
    // A connection that was idle before standby closes STANDBY_IDLE_TIMEOUT after its start; a later idle one
    // closes STANDBY_IDLE_TIMEOUT after its last request, and never later than STANDBY_CLOSE_TIMEOUT.
    assert_eq!(maintenance.idle_close_at(ms(0)), Some(ms(1_000) + STANDBY_IDLE_TIMEOUT));
    assert_eq!(maintenance.idle_close_at(ms(1_100)), Some(ms(1_100) + STANDBY_IDLE_TIMEOUT));
    assert_eq!(maintenance.idle_close_at(ms(2_400)), Some(ms(1_000) + STANDBY_CLOSE_TIMEOUT));
    assert!(
        !maintenance.should_close_connections(ms(2_000)) && maintenance.should_close_connections(ms(2_500))
    );
    assert_eq!(maintenance.handle(AdminRequest::Active, ms(3_000)).1, Change::Active);
    assert!(maintenance.should_answer_ping() && !maintenance.should_close_connections(ms(9_000)));
    maintenance.set_stopping();
    assert!(!maintenance.should_answer_ping());
    assert_eq!(maintenance.handle(AdminRequest::Status, ms(9_000)).0.code, 503);
}

#[test]
fn endpoints_in_maintenance_follow_the_file() {
    let mut maintenance = MaintenanceState::from_text("e1\ne2\n");
    assert_eq!(maintenance.follow("e2\ne1\n"), []);
    let changes = [Change::EndpointOut("e3".into()), Change::EndpointBack("e1".into())];
    assert_eq!(maintenance.follow("e2\ne3\n"), changes);
    assert!(!maintenance.is_in_maintenance("e1") && maintenance.is_in_maintenance("e3"));
    // Maintenance that another process started can be ended by this one.
    assert_eq!(
        maintenance.handle(AdminRequest::Exit("e3".into()), Duration::ZERO).1,
        Change::EndpointBack("e3".into())
    );
}

#[test]
fn change_is_applied_to_the_file_of_another_process() {
    let out = Change::EndpointOut("e3".into());
    assert_eq!(out.apply_to("e1\ne2\n"), "e1\ne2\ne3\n");
    assert_eq!(out.apply_to(""), "e3\n");
    let back = Change::EndpointBack("e2".into());
    assert_eq!(back.apply_to("e1\ne2\n"), "e1\n");
    assert_eq!(back.apply_to("e1\n"), "e1\n");
    assert_eq!(Change::Standby.apply_to("e1\n"), "e1\n");
}

#[test]
fn standby_follows_another_process() {
    let mut maintenance = MaintenanceState::default();
    assert_eq!(maintenance.follow_standby(false, ms(0)), Change::None);
    assert_eq!(maintenance.follow_standby(true, ms(1_000)), Change::Standby);
    assert_eq!(maintenance.follow_standby(true, ms(2_000)), Change::None);
    assert_eq!(maintenance.idle_close_at(ms(0)), Some(ms(1_000) + STANDBY_IDLE_TIMEOUT));
    assert_eq!(maintenance.follow_standby(false, ms(3_000)), Change::Active);
    assert!(maintenance.should_answer_ping());
}
