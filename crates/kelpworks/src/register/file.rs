//! The register as deserialized from its file, before any check across keys.

use std::net::SocketAddr;

use serde::Deserialize;
use toml::Spanned;

use crate::units::DurationSetting;
use crate::units::Rate;
use crate::units::Size;

/// Top level of the file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RegisterFile {
    #[serde(default)]
    pub(super) accelerator: Vec<AcceleratorTable>,
    pub(super) failure_domain: Vec<DomainTable>,
    #[serde(default)]
    pub(super) model: Vec<ModelTable>,
    pub(super) host: Vec<Spanned<HostTable>>,
    #[serde(default)]
    pub(super) link: Vec<LinkTable>,
}

/// One `[[accelerator]]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AcceleratorTable {
    pub(super) name: Spanned<String>,
    pub(super) layer_rate: Spanned<f64>,
    pub(super) memory: Spanned<Size>,
}

/// One `[[failure_domain]]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DomainTable {
    pub(super) name: Spanned<String>,
    pub(super) region: Spanned<String>,
}

/// One `[[model]]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ModelTable {
    pub(super) name: Spanned<String>,
    pub(super) version: Spanned<String>,
    pub(super) layers: Spanned<u32>,
    pub(super) layer_size: Spanned<Size>,
}

/// One `[[host]]`: a plain service if `service` is present, otherwise a model engine.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HostTable {
    pub(super) name: Spanned<String>,
    pub(super) failure_domain: Spanned<String>,
    pub(super) address: Spanned<SocketAddr>,
    pub(super) service: Option<Spanned<String>>,
    pub(super) accelerator: Option<Spanned<String>>,
    pub(super) accelerators: Option<Spanned<u32>>,
    pub(super) models: Option<Spanned<Vec<Spanned<String>>>>,
    pub(super) checks_fencing: Option<bool>,
}

/// One `[[link]]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LinkTable {
    pub(super) from: Spanned<String>,
    pub(super) to: Spanned<String>,
    pub(super) latency: DurationSetting,
    pub(super) bandwidth: Spanned<Rate>,
}
