"""Settings file of a gateway process."""

import json
import os
from pathlib import Path
from typing import Any

import attrs

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "LENTILHAVEN_SETTINGS"

#: Bytes in a megabyte of the file.
BYTES_PER_MB = 1_000_000


@attrs.frozen
class PlatformSettings:
    """
    Settings that the platform passes to a process at startup.

    Attributes
    ----------
    vm : str
        Name of this VM.
    address : str
        IP address of this VM.
    data_centre : str
        Data centre of this VM.
    callers, ready, peers : str
        ``IP:PORT`` to listen on for callers, for the health checks of the load
        balancer and for other VMs.
    internal_ports : tuple of (int, int)
        First and last port available for traffic between VMs.
    seeds : tuple of str
        Peer addresses of a few VMs; may be out of date.
    store : str
        ``IP:PORT`` of the platform's store.
    store_writes, store_reads : float
        Rate limits of writes to and reads from the store, in calls per second of
        all VMs together.
    drain_timeout, grace, config_apply, budget_window, stall : float
        Times of the deployment, in seconds: how long new work may be sent to a
        leaving endpoint, how long a shutdown and the adoption of a new manifest may
        take, the window of the retry budget, and how long work may stall behind a
        dead part of a chain.
    budget_ratio, budget_slack : float
        Retries allowed in a window: number per request, and fixed number in addition.
    fenced_orders : bool
        Whether endpoints check the fencing token of an order.
    open_files : int
        Maximum number of file descriptors of the process.
    capacity : float
        Number of cores that the process may use; 0 if the file does not state it.
    memory : int
        Bytes of memory that the process may use; 0 if the file does not state it.
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
    memory: int = 0


class SettingsFileError(ValueError):
    """The settings file is unusable; the message names the file and the field."""


def decode_settings(value: dict[str, Any]) -> PlatformSettings:
    """
    Decode the settings.

    Parameters
    ----------
    value : dict
        Content of the file; unknown fields are ignored.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a required field is missing or has the wrong type.
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
        # `cpu_share` is a share of one core; each core is `cores` times as fast.
        capacity=float(limits.get("cpu_share") or 0.0)
        * float(limits.get("cores") or 1),
        memory=int(float(limits.get("memory_mb") or 0.0) * BYTES_PER_MB),
    )


def read_settings(path: str | None = None) -> PlatformSettings:
    """
    Read the settings file.

    Parameters
    ----------
    path : str or None
        Path of the file; None to use the path in `SETTINGS_VARIABLE`.

    Raises
    ------
    SettingsFileError
        If the file can't be read, or a field is missing or invalid.
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
    except (
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise SettingsFileError(f"{name}: {error}") from error
