//! Links of the fault proxy between the processes of a fleet.

use std::net::SocketAddr;

use eyre::{OptionExt, WrapErr, ensure};
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::process::ChildProcess;
use crate::client::HttpClient;
use crate::proxy::LinkBehaviour;

/// Process that connects through a link, and process that it connects to.
type LinkEnds = (String, String);

/// A fault proxy with the links that were created so far.
pub struct FleetLinks {
    proxy: ChildProcess,
    client: HttpClient,
    links: IndexMap<LinkEnds, SocketAddr>,
}

fn link_name(source: &str, target: &str) -> String {
    format!("{source}.to.{target}")
}

impl FleetLinks {
    pub(super) fn start(proxy: ChildProcess) -> Self {
        Self { proxy, client: HttpClient::default(), links: IndexMap::new() }
    }

    /// Returns the address of a link, which is created if it does not exist.
    pub(super) async fn address(
        &mut self,
        source: &str,
        target: &str,
        address: SocketAddr,
    ) -> eyre::Result<SocketAddr> {
        let ends = (source.to_owned(), target.to_owned());
        if let Some(known) = self.links.get(&ends) {
            return Ok(*known);
        }
        let body = json!({ "name": link_name(source, target), "target": address });
        let control = self.proxy.address("address")?;
        let answer = self.client.call(http::Method::POST, control, "/control/links", &body).await?;
        let answer = answer.json()?;
        let address = answer["address"].as_str().ok_or_eyre("the new link has no address")?;
        let address = address.parse().wrap_err("cannot parse the address of the new link")?;
        self.links.insert(ends, address);
        Ok(address)
    }

    pub(super) async fn retarget(
        &self,
        source: &str,
        target: &str,
        address: SocketAddr,
    ) -> eyre::Result<()> {
        let path = format!("/control/links/{}/target", link_name(source, target));
        let body = json!({ "target": address });
        self.client.put_json(self.proxy.address("address")?, &path, &body).await.map(|_| ())
    }

    /// Returns the addresses of the links from a source, by target.
    pub(super) fn view(&self, source: &str) -> Value {
        let own = self.links.iter().filter(|((from, _), _)| from == source);
        own.map(|((_, target), address)| (target.clone(), json!(address))).collect()
    }

    /// Sets the behaviour of the selected links; returns their number. Fails if there are none.
    pub async fn set(
        &self,
        behaviour: LinkBehaviour,
        is_selected: impl Fn(&str, &str) -> bool,
    ) -> eyre::Result<usize> {
        let control = self.proxy.address("address")?;
        let body = json!(behaviour);
        let mut set = 0;
        for (source, target) in self.links.keys() {
            if is_selected(source, target) {
                let path = format!("/control/links/{}", link_name(source, target));
                self.client.put_json(control, &path, &body).await?;
                set += 1;
            }
        }
        ensure!(set > 0, "no link was selected");
        Ok(set)
    }

    pub(super) async fn close(self) -> eyre::Result<()> {
        self.proxy.kill().await
    }
}
