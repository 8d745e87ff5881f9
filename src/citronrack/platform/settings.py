"""Reads the settings file that the platform writes."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

from ..errors import SettingsError
from ..hosted.readers import CONFIG_APPLY_S
from ..hosted.settings import HostedAddresses, HostedBounds, HostedSettings
from .fields import FieldError, require, require_seconds

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
    local = require(fields, "local", dict)
    network = require(fields, "network", dict)
    # The table "platform" tells how machines and the store are met; the store has its own table.
    platform = require(fields, "platform", dict)
    return HostedSettings(
        name=require(local, "node_id", str),
        availability_zone=require(local, "zone", str),
        service=require(local, "service", str),
        addresses=_addresses(local, network, require(platform, "platform", dict)),
        bounds=_bounds(platform, require(fields, "constraints", dict)),
        link_mbps=_link_mbps(local),
    )


def _addresses(
    local: Mapping[str, Any], network: Mapping[str, Any], store: Mapping[str, Any]
) -> HostedAddresses:
    listen = require(network, "listen_addrs", dict)
    ip = require(local, "ip", str)
    ports = require(network, "internal_port_range", list)
    if not ports:
        raise FieldError("field 'internal_port_range' names no port")
    return HostedAddresses(
        calls=require(listen, "outbound", str),
        deliveries=require(listen, "inbound", str),
        peers=f"{ip}:{ports[0]}",
        control=require(listen, "control", str),
        ready=require(listen, "ready", str),
        metrics=f"{ip}:{METRICS_PORT}",
        target=require(local, "app_address", str),
        store=require(store, "address", str),
    )


def _link_mbps(local: Mapping[str, Any]) -> int:
    """Return the rate of the instance's link; 0 where no limit is stated, which ranks last."""
    limits = require(local, "limits", dict) if "limits" in local else {}
    return round(float(limits.get("link_mbps", 0)))


def _bounds(platform: Mapping[str, Any], constraints: Mapping[str, Any]) -> HostedBounds:
    parameters = require(constraints, "parameters", dict)
    return HostedBounds(
        grace_s=require_seconds(parameters, "grace"),
        config_apply_s=(
            require_seconds(parameters, "config_apply")
            if "config_apply" in parameters
            else CONFIG_APPLY_S
        ),
        report_interval_s=require_seconds(platform, "heartbeat"),
        retry_ratio=float(parameters.get("retry_budget_ratio", 0.0)),
        retry_slack=float(parameters.get("retry_slack", 0.0)),
    )
