//! Binds idempotency keys to endpoint incarnations, so that a request with a key runs at most once.

use std::{sync::Arc, time::SystemTime};

use lynxmount_audit::AuditEvent;
use lynxmount_core::{Offset, Reason, wall_time_ms};
use lynxmount_idempotency::{
    ActiveClaim, Claim, KeyDecision, KeyDigest, RequestDigest, decide_key,
};
use lynxmount_node::NodeHandle;
use lynxmount_wire::Binding;

use crate::{
    claim_log::ClaimLog,
    reply::Refusal,
    service_pool::{Reservation, ReservationRequest, ServicePool},
};

/// An idempotency key and the digest of the request that carries it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdempotencyKey {
    pub(crate) key_digest: KeyDigest,
    pub(crate) request_digest: RequestDigest,
    /// The claim whose endpoint refused this request and thereby revoked the key.
    pub(crate) revoked_claim: Option<Offset>,
}

/// Reserves the only endpoint at which a key may run, claiming one if the key has no active claim.
///
/// Fails with the outcome *unknown* if the key is bound to a process that cannot be reached, and
/// with *not run* if the key could not be bound.
pub(crate) async fn bind_key(
    key: &IdempotencyKey,
    request: ReservationRequest<'_>,
    pool: &Arc<ServicePool>,
    claims: &ClaimLog,
    node: &NodeHandle,
) -> Result<(Reservation, Binding), Refusal> {
    let active_claim = claims.get(&key.key_digest);
    match key_decision(key, active_claim.as_ref(), pool) {
        KeyDecision::Claim { replaces } => {
            claim_endpoint(key, replaces, request, pool, claims, node).await
        }
        _ => reserve_claimed(key, active_claim.as_ref(), pool),
    }
}

fn key_decision(
    key: &IdempotencyKey,
    active_claim: Option<&ActiveClaim>,
    pool: &ServicePool,
) -> KeyDecision {
    let client = active_claim.and_then(|active| pool.client(&active.claim.endpoint));
    let connected = client.and_then(|client| client.incarnation());
    decide_key(&key.request_digest, key.revoked_claim, active_claim, connected)
}

async fn claim_endpoint(
    key: &IdempotencyKey,
    replaces: Option<Offset>,
    request: ReservationRequest<'_>,
    pool: &Arc<ServicePool>,
    claims: &ClaimLog,
    node: &NodeHandle,
) -> Result<(Reservation, Binding), Refusal> {
    let reservation = pool.reserve(request).await?;
    let endpoint = reservation.client.endpoint.id.clone();
    let Some(incarnation) = reservation.client.incarnation() else {
        return Err(Refusal::not_run(Reason::NoEndpoint, "the endpoint has just gone"));
    };
    let claim = Claim {
        key_digest: key.key_digest,
        request_digest: key.request_digest,
        endpoint: endpoint.clone(),
        incarnation,
        claimed_at_ms: wall_time_ms(SystemTime::now()),
        replaces,
    };
    let active_claim = claims
        .claim(claim.clone())
        .await
        .map_err(|error| Refusal::not_run(Reason::PlatformOut, error.to_string()))?;
    if let (Some(replaced), true) = (replaces, active_claim.claim == claim) {
        node.audit(AuditEvent::KeyRebound { replaced, endpoint });
    }
    match active_claim.claim == claim {
        true => Ok((reservation, binding_of(&active_claim))),
        // Another entry claimed the key first; the key runs at the endpoint of that claim.
        false => reserve_claimed(key, Some(&active_claim), pool),
    }
}

/// Reserves the incarnation that the claim names, regardless of its load.
fn reserve_claimed(
    key: &IdempotencyKey,
    active_claim: Option<&ActiveClaim>,
    pool: &Arc<ServicePool>,
) -> Result<(Reservation, Binding), Refusal> {
    let endpoint = active_claim.map(|active| active.claim.endpoint.clone()).unwrap_or_default();
    match (key_decision(key, active_claim, pool), active_claim, pool.client(&endpoint)) {
        (KeyDecision::Dispatch, Some(active_claim), Some(client)) => {
            Ok((pool.reserve_at(client), binding_of(active_claim)))
        }
        (KeyDecision::Reused, ..) => {
            let detail = "the key came with another method, path or body before";
            Err(Refusal::not_run(Reason::KeyReused, detail))
        }
        _ => {
            let detail = format!("the key was given to {endpoint}, which can't be asked now");
            Err(Refusal::unknown(Reason::LostAttempt, detail))
        }
    }
}

fn binding_of(active_claim: &ActiveClaim) -> Binding {
    let ActiveClaim { offset, claim } = active_claim;
    Binding {
        key_digest: claim.key_digest,
        request_digest: claim.request_digest,
        incarnation: claim.incarnation,
        claim_offset: *offset,
        claimed_at_ms: claim.claimed_at_ms,
    }
}
