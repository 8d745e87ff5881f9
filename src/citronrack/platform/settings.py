"""Reads the settings file that the platform writes."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

from ..errors import SettingsError
from ..hosted.readers import CONFIG_APPLY_S
from ..hosted.settings import HostedAddresses, HostedBounds, HostedSettings
from .fields import FieldError, need, seconds

METRICS_PORT = 9464
"""Port of the metrics, as in ``deploy/system.toml``."""


def parse_settings(content: bytes, *, source: str) -> HostedSettings:
    """Return the checked settings in the bytes of a file.

    Raises:
        SettingsError: When the bytes are not TOML or a field is missing.
    """
    try:
        return _settings(tomllib.loads(content.decode()))
    except (ValueError, TypeError) as error:
        raise SettingsError([f"{source}: {error}"]) from error


def _settings(fields: Mapping[str, Any]) -> HostedSettings:
    local = need(fields, "local", dict)
    network = need(fields, "network", dict)
    # The table "platform" tells how machines and the store are met; the store has its own table.
    platform = need(fields, "platform", dict)
    return HostedSettings(
        name=need(local, "node_id", str),
        availability_zone=need(local, "zone", str),
        service=need(local, "service", str),
        addresses=_addresses(local, network, need(platform, "platform", dict)),
        bounds=_bounds(platform, need(fields, "constraints", dict)),
        link_mbps=_link_mbps(local),
    )


def _addresses(
    local: Mapping[str, Any], network: Mapping[str, Any], store: Mapping[str, Any]
) -> HostedAddresses:
    listen = need(network, "listen_addrs", dict)
    ip = need(local, "ip", str)
    ports = need(network, "internal_port_range", list)
    if not ports:
        raise FieldError("field 'internal_port_range' names no port")
    return HostedAddresses(
        calls=need(listen, "outbound", str),
        deliveries=need(listen, "inbound", str),
        peers=f"{ip}:{ports[0]}",
        control=need(listen, "control", str),
        ready=need(listen, "ready", str),
        metrics=f"{ip}:{METRICS_PORT}",
        target=need(local, "app_address", str),
        store=need(store, "address", str),
    )


def _link_mbps(local: Mapping[str, Any]) -> int:
    """Return the rate of the instance's link; 0 where no limit is stated, which ranks last."""
    limits = need(local, "limits", dict) if "limits" in local else {}
    return round(float(limits.get("link_mbps", 0)))


def _bounds(platform: Mapping[str, Any], constraints: Mapping[str, Any]) -> HostedBounds:
    parameters = need(constraints, "parameters", dict)
    return HostedBounds(
        grace_s=seconds(parameters, "grace"),
        config_apply_s=(
            seconds(parameters, "config_apply") if "config_apply" in parameters else CONFIG_APPLY_S
        ),
        report_interval_s=seconds(platform, "heartbeat"),
        retry_ratio=float(parameters.get("retry_budget_ratio", 0.0)),
        retry_slack=float(parameters.get("retry_slack", 0.0)),
    )
