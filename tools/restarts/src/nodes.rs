//! The project's processes: which of them owns the cell, and its end.

use std::{fs, path::PathBuf, process::Command};

use crate::{
    deployment::{Deployment, Node},
    json::Json,
};

fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// The greatest epoch in which this node has claimed a cell, by its log.
fn newest_claim(node: &Node) -> Option<u64> {
    let log = fs::read_to_string(folder().join(format!("{}.log", node.name))).ok()?;
    let claims = log.lines().filter(|line| line.contains("duty claimed"));
    let claims = claims.filter(|line| line.contains("cell/"));
    claims.filter_map(|line| Json::parse(line)?.number("epoch")).max()
}

/// The node that owns the cell, with the epoch of its claim.
fn owner(deployment: &Deployment) -> Option<(u64, &Node)> {
    let claims = deployment.nodes.iter().filter_map(|node| Some((newest_claim(node)?, node)));
    claims.max_by_key(|(epoch, _)| *epoch)
}

/// The epoch of the cell's newest claim.
pub fn epoch(deployment: &Deployment) -> u64 {
    owner(deployment).map_or(0, |(epoch, _)| epoch)
}

/// The process that was started with this node's settings.
fn pid(node: &Node) -> Option<u32> {
    let settings = format!("TEASELGAP_BOOT={}/{}.toml", folder().display(), node.name);
    let has_settings = |pid: &u32| {
        let environment = fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        environment.split(|byte| *byte == 0).any(|pair| pair == settings.as_bytes())
    };
    let entries = fs::read_dir("/proc").ok()?.flatten();
    let mut pids = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    pids.find(has_settings)
}

/// Kills the node that owns the cell.
pub fn kill_owner(deployment: &Deployment) -> Option<()> {
    let (epoch, node) = owner(deployment)?;
    let pid = pid(node)?.to_string();
    deployment.record.note(format!("{}, owner since {epoch}, is killed", node.name));
    Command::new("kill").args(["-9", &pid]).status().ok()?.success().then_some(())
}
