"""Reads the settings file that the platform writes."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

from ..errors import SettingsError
from ..hosted.readers import CONFIG_APPLY_S
from ..hosted.settings import COLD_OVERSHOOT, HostedAddresses, HostedBounds, HostedSettings
from .fields import FieldError, T, require, require_seconds

METRICS_PORT = 9464
"""Port of the metrics, as in ``deploy/system.toml``."""


REVOKE = "5s"
"""Time within which a withdrawn key is out of use if the platform states none."""


def parse_settings(content: bytes, *, source: str) -> HostedSettings:
    """Return the validated settings in the content of a file.

    Raises:
        SettingsError: If the content is not TOML, or a field is missing or invalid.
    """
    try:
        return _settings(tomllib.loads(content.decode()))
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise SettingsError([f"{source}: {error}"]) from error


def _settings(fields: Mapping[str, Any]) -> HostedSettings:
    local = require(fields, "local", dict)
    network = require(fields, "network", dict)
    # Table "platform" describes the platform's services; the store is its subtable "platform".
    platform = require(fields, "platform", dict)
    addresses = _addresses(local, network, require(platform, "platform", dict))
    return HostedSettings(
        name=require(local, "node_id", str),
        availability_zone=require(local, "zone", str),
        service=require(local, "service", str),
        addresses=addresses,
        bounds=_bounds(platform, require(fields, "constraints", dict)),
        link_mbps=_link_mbps(local),
        seeds=_seeds(network, own=addresses.peers),
    )


def _addresses(
    local: Mapping[str, Any], network: Mapping[str, Any], store: Mapping[str, Any]
) -> HostedAddresses:
    listen = require(network, "listen_addrs", dict)
    ip = require(local, "ip", str)
    ports = require(network, "internal_port_range", list)
    if not ports:
        raise FieldError("field 'internal_port_range' is empty")
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


def _seeds(network: Mapping[str, Any], *, own: str) -> tuple[str, ...]:
    """Return the addresses of the seeds for messages of nodes.

    The file states their addresses for reports of targets. Ports are the same on all instances.
    """
    port = own.rpartition(":")[2]
    addresses = []
    for seed in require(network, "seeds", list) if "seeds" in network else []:
        host = str(seed).rpartition(":")[0]
        if not host:
            raise FieldError(f"field 'seeds' has {seed!r}, which is not an address")
        addresses.append(f"{host}:{port}")
    return tuple(address for address in addresses if address != own)


def _link_mbps(local: Mapping[str, Any]) -> int:
    """Return the bandwidth of the instance's link; 0, which ranks last, if no limit is stated."""
    limits = require(local, "limits", dict) if "limits" in local else {}
    return round(float(limits.get("link_mbps", 0)))


def _bounds(platform: Mapping[str, Any], constraints: Mapping[str, Any]) -> HostedBounds:
    parameters = require(constraints, "parameters", dict)
    return HostedBounds(
        grace_s=require_seconds(parameters, "grace"),
        config_apply_s=_seconds(parameters, "config_apply", CONFIG_APPLY_S),
        report_interval_s=require_seconds(platform, "heartbeat"),
        retry_ratio=float(parameters.get("retry_budget_ratio", 0.0)),
        retry_slack=float(parameters.get("retry_slack", 0.0)),
        allotment_slack=float(parameters.get("quota_slack", 0.0)),
        cold_overshoot=float(parameters.get("cold_overshoot", COLD_OVERSHOOT)),
        evacuation_s=_seconds(parameters, "evacuation", None),
        revoke_s=require_seconds({"revoke": REVOKE, **parameters}, "revoke"),
        revoke_fail_closed=require(
            {"revoke_fail_closed": False, **parameters}, "revoke_fail_closed", bool
        ),
    )


def _seconds(parameters: Mapping[str, Any], name: str, default: T) -> float | T:
    """Return a duration in seconds, or the default if it is not stated."""
    return require_seconds(parameters, name) if name in parameters else default
