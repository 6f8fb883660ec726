"""Processes under test, started with lowered limits on loopback addresses."""

import asyncio
import json
import secrets
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import attrs

from lentilhaven.bench.cost.processes import free_ports, wait_for_port
from lentilhaven.bench.crowd.crowd_client import Address
from lentilhaven.bench.crowd.misbehaviour import make_request
from lentilhaven.bench.soak.soak_environment import open_environment
from lentilhaven.bench.soak.soak_tables import API_KEYS
from lentilhaven.gateway.gateway_metrics import METRICS_PORT

#: Lowered limits: resident memory in megabytes, and open descriptors.  A gateway uses
#: 54 MB at its start.
MEMORY_MB, DESCRIPTORS = 100, 400

#: Memory of the smallest VM in megabytes, the bound of a router, whose settings state
#: none.
SMALLEST_VM_MB = 200

#: Connections that a router keeps open at each of its two listeners.
ROUTER_CONNECTIONS = 180


@attrs.frozen
class Target:
    """
    A process under test.

    Attributes
    ----------
    process : asyncio.subprocess.Process
        The process.
    listeners : dict
        Addresses of its listeners, by name.
    ordinary : bytes
        Request to the listener ``callers`` that a correct client sends.
    status : int or None
        Status that the ordinary request gets; None for any.
    memory : int
        Bound of the resident memory, in bytes.
    descriptors : int
        Bound of the open descriptors.
    """

    process: asyncio.subprocess.Process
    listeners: dict[str, Address]
    ordinary: bytes
    status: int | None
    memory: int
    descriptors: int = DESCRIPTORS


@asynccontextmanager
async def open_gateway_target(folder: Path) -> AsyncIterator[Target]:
    """Run a gateway with replicas and a store."""
    limits = {"max_fds": DESCRIPTORS, "memory_mb": MEMORY_MB}
    async with open_environment(1, 1, folder, limits=limits) as environment:
        (gateway,) = environment.gateways
        settings, process = gateway.decoded_settings, gateway.process
        assert process is not None
        names = {"callers", "ready", "peers"}
        listeners = {it: parse_address(getattr(settings, it)) for it in names}
        listeners["metrics"] = Address(settings.address, METRICS_PORT)
        ordinary = make_request(API_KEYS["yard"])
        memory = MEMORY_MB * 1_000_000
        yield Target(process, listeners, ordinary, 200, memory)


@asynccontextmanager
async def open_router_target(folder: Path) -> AsyncIterator[Target]:
    """Run a router without an agent; its operators' listener has TLS."""
    port, operators_port = free_ports(2)
    token = folder / "cluster-token"
    token.write_text(secrets.token_hex(32), encoding="utf-8")
    data = Path(__file__).parents[2] / "serving" / "tests" / "data"
    tls = {
        "certificate_file": str(data / "certificate.pem"),
        "key_file": str(data / "key.pem"),
    }
    settings: dict[str, Any] = {
        "vm": "vm-1",
        "data_centre": "dc-a",
        "agent_url": "http://127.0.0.1:1",
        "port": port,
        "cluster_token_file": str(token),
        "limits": {"max_connections": ROUTER_CONNECTIONS},
        "operators": {"port": operators_port, "tls": tls},
    }
    path = folder / "router.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    with (folder / "router.log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "lentilhaven.router", str(path)),
            stdout=log,
            stderr=log,
        )
    try:
        await wait_for_port(port)
        names = {"callers": port, "operators": operators_port}
        listeners = {name: Address("127.0.0.1", it) for name, it in names.items()}
        memory = SMALLEST_VM_MB * 1_000_000
        yield Target(process, listeners, make_request("none"), None, memory)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def parse_address(text: str) -> Address:
    """Return the address that ``IP:PORT`` names."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
