//! stub
#![allow(missing_docs, unused)]
use lynxmount_core::{
    SiteSettings,
    edge::{Engine, FleetSource},
};
use std::{net::SocketAddr, time::Duration};
pub fn run<E: Engine>(
    settings: SiteSettings,
    _m: Option<u16>,
    _s: impl FleetSource,
    e: impl Fn(SocketAddr) -> E,
) -> anyhow::Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    rt.block_on(async move {
        let engine = e(settings.engine_address.unwrap());
        loop {
            log::info!("report {:?}", engine.report().await);
            log::info!(
                "counts {:?}",
                engine.counts().await.map(|c| (
                    c.step,
                    c.epoch,
                    c.by_set_and_expert.len(),
                    c.by_set_and_expert.iter().sum::<u64>()
                ))
            );
            log::info!("map {:?}", engine.rank_map().await);
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    })
}
