//! Passing orders on to an engine: to the own one for others, and to others'
//! through the processes beside them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use lynxmount_core::{
    Result, Step,
    edge::Engine,
    experts::{Action, EngineOrder},
    invalid, refused,
};
use lynxmount_link::{Handle, HttpClient};
use parking_lot::Mutex;

use crate::{
    message::{OrderAnswer, OrderRequest},
    reporter::Reporter,
};

/// The path of orders.
const ORDER_PATH: &str = "/v1/order";

/// The largest order, in bytes: a map of 72 ranks, 12 sets and 3 places takes 30 kB.
const MAX_ORDER_BYTES: usize = 256 * 1024;

/// How long a process may take to pass an order on: longer than it waits for
/// its engine.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);

/// How often an order without an answer is given, in all. It takes effect once at
/// most, as it carries a number.
const MAX_TRIES: u32 = 4;

/// Gives an order, and reads the engine's state after it.
///
/// Fails if the state can't be read.
pub(crate) async fn give(engine: &impl Engine, order: &EngineOrder) -> Result<OrderAnswer> {
    let mut result = None;
    let mut tries = 0;
    while result.is_none() && tries < MAX_TRIES {
        tries += 1;
        match engine.order(order).await {
            Ok(answered) => result = Some(answered),
            Err(error) => log::info!(tries, error:% = error; "order without an answer"),
        }
    }
    let report = engine.report().await?;
    Ok(OrderAnswer { result, tries, report })
}

/// Connections to the processes beside other engines.
#[derive(Default)]
pub(crate) struct Peers {
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
}

impl Peers {
    /// Asks the process beside an engine to give an order.
    ///
    /// Fails if that process or its engine does not answer.
    pub(crate) async fn give(&self, peer: SocketAddr, order: &EngineOrder) -> Result<OrderAnswer> {
        let request = OrderRequest { order: order.clone() };
        let body = serde_json::to_vec(&request).map_err(|e| invalid(Step::Order, peer, e))?;
        let client = self.client(peer);
        let answer =
            client.call(Step::Order, Method::POST, ORDER_PATH, body.into(), ORDER_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => {
                serde_json::from_slice(&answer.body).map_err(|e| invalid(Step::Order, peer, e))
            }
            status => Err(refused(Step::Order, peer, status)),
        }
    }

    fn client(&self, peer: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.clients.lock();
        Arc::clone(clients.entry(peer).or_insert_with(|| Arc::new(HttpClient::new(peer))))
    }
}

/// Takes orders of the process that balances.
pub(crate) struct OrderPort<E> {
    pub(crate) reporter: Arc<Reporter<E>>,
}

impl<E: Engine> Handle for OrderPort<E> {
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != ORDER_PATH || request.method() != Method::POST {
            return status(StatusCode::NOT_FOUND);
        }
        let body = match Limited::new(request.into_body(), MAX_ORDER_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                log::warn!(error:% = error; "an order did not arrive whole");
                return status(StatusCode::BAD_REQUEST);
            }
        };
        let order = match serde_json::from_slice::<OrderRequest>(&body) {
            Ok(request) => request.order,
            Err(error) => {
                log::warn!(error:% = error; "an order can't be read");
                return status(StatusCode::BAD_REQUEST);
            }
        };
        match self.give(&order).await {
            Ok(answer) => answer,
            Err(error) => {
                log::info!(error:% = error; "an order was not passed on");
                status(StatusCode::BAD_GATEWAY)
            }
        }
    }
}

impl<E: Engine> OrderPort<E> {
    async fn give(&self, order: &EngineOrder) -> Result<Response<Full<Bytes>>> {
        let answer = give(&*self.reporter.engine, order).await?;
        if let Action::Prepare { version, .. } = order.action {
            self.reporter.note_copying(version);
        }
        let body = serde_json::to_vec(&answer)
            .map_err(|e| invalid(Step::Order, self.reporter.address, e))?;
        Ok(Response::new(Full::new(body.into())))
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
