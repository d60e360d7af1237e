//! Settings files of routers and agents.

use std::net::SocketAddr;

use eyre::WrapErr;
use toml::{Table, Value};

use super::node::{NodeKind, NodeSpec};
use super::plan::FleetPlan;

/// Addresses that a node's settings contain.
pub(super) struct NodeAddresses {
    pub(super) platform: SocketAddr,
    /// Address of the link through which others reach the node's peer interface, if there is one.
    pub(super) advertised: Option<SocketAddr>,
    pub(super) upstream: Option<SocketAddr>,
}

/// Builds the settings file of a node, with the plan's settings for its role merged in.
pub(super) fn node_settings(
    plan: &FleetPlan,
    spec: &NodeSpec,
    addresses: &NodeAddresses,
) -> eyre::Result<String> {
    let (name, platform) = (&spec.name, addresses.platform);
    let mut text = format!(
        "[node]\nid = \"{name}\"\ndata-centre = \"{}\"\n\n\
         [platform]\ntable = \"http://{platform}\"\nvm-list = \"http://{platform}/views/{name}\"\n\
         poll-interval = \"200ms\"\n\n\
         [drain]\ndelay = \"500ms\"\n\n\
         [listen]\npeer = \"127.0.0.1:0\"\n",
        spec.data_centre
    );
    if let Some(advertised) = addresses.advertised {
        text += &format!("advertise-peer = \"{advertised}\"\n");
    }
    let overrides = match (&spec.kind, addresses.upstream) {
        (NodeKind::Agent { upstream }, Some(address)) => {
            let (service, slots) = (FleetPlan::service_of(upstream), plan.slots_of(upstream));
            text += &format!(
                "\n[upstream]\nid = \"{upstream}\"\nservice = \"{service}\"\n\
                 url = \"http://{address}\"\nslots = {slots}\n"
            );
            &plan.agent_settings
        }
        _ => {
            text += "caller = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n";
            &plan.router_settings
        }
    };
    merge_settings(&text, overrides)
}

/// Merges two settings files; the values of `overrides` replace those of `base`.
pub fn merge_settings(base: &str, overrides: &str) -> eyre::Result<String> {
    let mut base: Table = base.parse().wrap_err("cannot parse the base settings")?;
    let overrides: Table = overrides.parse().wrap_err("cannot parse the overriding settings")?;
    merge_table(&mut base, overrides);
    Ok(base.to_string())
}

fn merge_table(base: &mut Table, overrides: Table) {
    for (key, value) in overrides {
        match (base.get_mut(&key), value) {
            (Some(Value::Table(base)), Value::Table(overrides)) => merge_table(base, overrides),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}
