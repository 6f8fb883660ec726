"""The settings file of a process."""

import json
import os
from pathlib import Path
from typing import Any

import attrs

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "LENTILHAVEN_SETTINGS"


@attrs.frozen
class PlatformSettings:
    """
    What the platform tells a process at its start.

    Attributes
    ----------
    vm : str
        Name of this VM.
    address : str
        Its IP address.
    data_centre : str
        Where it stands.
    callers, ready, peers : str
        ``IP:PORT`` to listen on, for callers, for the balancer's checks and
        for other VMs.
    internal_ports : tuple of (int, int)
        First and last port that is free between the VMs.
    seeds : tuple of str
        Peer addresses of a few VMs, which may be stale.
    store : str
        ``IP:PORT`` of the platform's store.
    store_writes, store_reads : float
        Calls per second that all VMs together may make.
    drain_timeout, grace, config_apply, budget_window, stall : float
        Bounds of the deployment, in seconds: for new work to a leaving
        endpoint, for a shutdown, for a new manifest, the window of the retry
        budget, and how long work stalls behind a dead part of a chain.
    budget_ratio, budget_slack : float
        Retries allowed per request and beside it, in a window.
    fenced_orders : bool
        Whether endpoints check the fencing number of an order.
    open_files : int
        File descriptors that the process may hold.
    capacity : float
        Cores that the process may use.
    """

    vm: str
    address: str
    data_centre: str
    callers: str
    ready: str
    peers: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    store: str
    store_writes: float
    store_reads: float
    drain_timeout: float
    grace: float
    config_apply: float
    budget_window: float
    budget_ratio: float
    budget_slack: float
    stall: float
    fenced_orders: bool
    open_files: int
    capacity: float = 0.0


class SettingsFileError(ValueError):
    """The settings file can't be used; the message names file and field."""


def decode_settings(value: dict[str, Any]) -> PlatformSettings:
    """
    Decode the settings.

    Parameters
    ----------
    value : dict
        Content of the file; fields that aren't known are ignored.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field that is needed is missing or has another type.
    """
    listen, bounds, store = value["listen_addrs"], value["bounds"], value["platform"]
    ports = value.get("internal_ports") or [0, 0]
    limits = value.get("limits") or {}
    return PlatformSettings(
        vm=value["node_name"],
        address=value["ip_address"],
        data_centre=value["zone"],
        callers=listen["front"],
        ready=listen["ready"],
        peers=listen.get("control", ""),
        internal_ports=(int(ports[0]), int(ports[1])),
        seeds=tuple(value.get("seeds") or ()),
        store=store["address"],
        store_writes=float(store.get("writes_per_s") or 100.0),
        store_reads=float(store.get("reads_per_s") or 100.0),
        drain_timeout=float(bounds["drain_timeout_ms"]) / 1000.0,
        grace=float(bounds["grace_s"]),
        config_apply=float(bounds["config_apply_ms"]) / 1000.0,
        budget_window=float(bounds["budget_window_s"]),
        budget_ratio=float(bounds["retry_budget_ratio"]),
        budget_slack=float(bounds["retry_budget_slack"]),
        stall=float(bounds.get("stall_ms", 3000.0)) / 1000.0,
        fenced_orders=bool(bounds.get("require_fencing")),
        open_files=int(limits.get("max_fds") or 1024),
        # The share is of one core, each of which is `cores` times as fast.
        capacity=float(limits.get("cpu_share") or 0.0)
        * float(limits.get("cores") or 1),
    )


def read_settings(path: str | None = None) -> PlatformSettings:
    """
    Read the settings file.

    Parameters
    ----------
    path : str or None
        Where it is; None is what the environment names.

    Raises
    ------
    SettingsFileError
        If there is no such file or a field is missing or wrong.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not name:
        raise SettingsFileError(f"{SETTINGS_VARIABLE} is not set")
    try:
        return decode_settings(json.loads(Path(name).read_text()))
    except OSError as error:
        raise SettingsFileError(f"{name}: {error.strerror}") from error
    except KeyError as error:
        raise SettingsFileError(f"{name}: field {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsFileError(f"{name}: {error}") from error
