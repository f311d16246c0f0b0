//! Replicas that answer with a status that HTTP does not have, on the users' platform.

mod platform_common;

use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Behaviour,
    fixture::{IDEMPOTENT, NON_IDEMPOTENT, STREAM},
};
use platform_common::{Fleet, KEY, call};

/// Statuses that tell a caller that its request has not run.
const NOT_RUN_STATUSES: [&str; 3] =
    ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"];

const ODD_STATUSES: [&str; 6] = ["000 Odd", "099 Odd", "600 Odd", "700 Odd", "999 Odd", "1000 Odd"];

/// Guards against a status line that is no answer in HTTP and reaches the caller as one.
#[tokio::test]
async fn answers_with_a_status_outside_of_http_reach_no_caller() {
    for status in ODD_STATUSES {
        for service in [NON_IDEMPOTENT, STREAM] {
            let odd = Behaviour::AnswerWith { status };
            let fleet = Fleet::start(service, &[odd.clone(), odd]).await;

            let path = format!("/{service}/7");
            let response = call(fleet.address(), Method::POST, &path, KEY).await.expect("response");

            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status} of {service}");
        }
    }
}

#[tokio::test]
async fn lookup_that_is_answered_with_a_status_outside_of_http_is_retried_elsewhere() {
    for status in ODD_STATUSES {
        let behaviours = [Behaviour::AnswerWith { status }, Behaviour::Answer];
        let fleet = Fleet::start(IDEMPOTENT, &behaviours).await;

        let path = format!("/{IDEMPOTENT}/7");
        for _ in 0..2 {
            let response = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");

            assert_eq!(response.status, StatusCode::OK, "{status}");
        }
    }
}

/// Guards against a caller who repeats a request that has run, as a replica's status denies it.
#[tokio::test]
async fn replica_that_does_not_say_not_executed_tells_no_caller_of_a_single_run_so() {
    for status in NOT_RUN_STATUSES {
        let failing = Behaviour::AnswerWith { status };
        let fleet = Fleet::start(NON_IDEMPOTENT, &[failing.clone(), failing]).await;

        let path = format!("/{NON_IDEMPOTENT}/7");
        let response = call(fleet.address(), Method::POST, &path, KEY).await.expect("response");

        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status}");
        assert_eq!(fleet.arrivals(), 1);
    }
}

#[tokio::test]
async fn lookup_gets_the_status_of_its_replica_unchanged() {
    for status in NOT_RUN_STATUSES {
        let failing = Behaviour::AnswerWith { status };
        let fleet = Fleet::start(IDEMPOTENT, &[failing.clone(), failing]).await;

        let path = format!("/{IDEMPOTENT}/7");
        let response = call(fleet.address(), Method::GET, &path, KEY).await.expect("response");

        assert!(status.starts_with(response.status.as_str()), "{status}");
    }
}
