"""A stream whose second and third runs begin to answer while its gateway is frozen."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (  # noqa: E402
    BOUNDS,
    KEY,
    TROUBLE,
    GatewayProcess,
    HttpServer,
    Store,
    free_block,
    head_of,
    read_stream,
    run_case,
)

LAYERS, EVENTS = 8, 43
STALL = BOUNDS["stall_ms"] / 1000

#: Id, accelerator and first layer of each engine; each holds half of the model.
ENGINES = [
    ("i-e1", "fast", 0),
    ("i-x1", "fast", 4),
    ("i-e2", "middle", 0),
    ("i-x2", "middle", 4),
    ("i-e3", "slow", 0),
    ("i-x3", "slow", 4),
]

#: Seconds to the first event on a sound chain, by the engine that it begins on, and
#: how much longer an engine takes that has turned slow.
FIRST_EVENT = {"i-e1": 0.05, "i-e2": 0.22, "i-e3": 0.45}
SLOW = 12

#: The gateway is frozen from FREEZE_AT seconds after the request on, for FREEZE.
FREEZE_AT, FREEZE = 2.2, 1.4

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "draft",
            "host": "depot.example",
            "path_prefix": "/draft/",
            "service": "gen",
            "kind": "streaming",
            "resumable": True,
            "sticky": True,
            "attempts": 2,
            "timeout_ms": 20000,
            "target_latency_ms": 1000,
            "gap_target_ms": 250,
            "priority": 1,
        }
    ],
    "services": [
        {
            "name": "gen",
            "health_path": "/healthz",
            "max_connections": 1078,
            "engine": {
                "slots": 96,
                "kv_capacity_tokens": 50000,
                "kv_bytes": 590000,
                "stride": 4,
                "models": [{"name": "m0", "pace": 1.0, "load_s": 14.0}],
                "step_ms": 1.02,
                "per_seq_ms": 0.01,
                "context_per_k": 0.01,
                "read_per_s": 164000.0,
                "loads_at_once": 6,
                "usual": {"prompt": 760, "answer": 172},
                "layers": LAYERS,
                "layer_mb": 1750.0,
                "activation_bytes": 16000,
                "link_mbps": 100000.0,
                "pipe_mbps": 19000.0,
                "report_lag_ms": 200,
                "kinds": [
                    {"name": "fast", "mb": 72000.0, "pace": 2.4, "read_x": 3.2},
                    {"name": "middle", "mb": 72000.0, "pace": 5.3, "read_x": 7.9},
                    {"name": "slow", "mb": 72000.0, "pace": 16.0, "read_x": 8.2},
                ],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 10000,
        "idle_timeout_ms": 30000,
    },
    "tenants": [{"name": "depot", "api_keys": [KEY]}],
}


class Engines:
    """Engines that run chains of two."""

    def __init__(self, record, prefix, port):
        self.record = record
        self.dark, self.slow = set(), set()
        self.servers, self.by_address, self.entries = {}, {}, {}
        for number, (name, card, first) in enumerate(ENGINES):
            host = f"{prefix}.{60 + number}"
            self.by_address[f"{host}:{port}"] = name
            layers = {"from": first, "target": first + LAYERS // 2, "version": 1}
            self.entries[name] = {
                "service": "gen",
                "address": f"{host}:{port}",
                "zone": "z-a",
                "version": 1,
                "slots": 96,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": 1780000000000 + number,
                "kind": card,
                "stage": "prefill_decode",
                "models": [{"name": "m0", "version": 1, "adapters": []}],
                "layers": layers,
            }
            self.servers[name] = HttpServer(host, port, self.handler(name))

    def handler(self, name):
        async def handle(request):
            if name in self.dark:
                await asyncio.sleep(3600)
            if request.path == "/report":
                return await self.report(name, request)
            if request.path == "/order":
                return await request.answer(409, b"{}")
            if request.headers.get("expect-replica", name) != name:
                return await request.answer(421, b"", [("Not-Executed", "1")])
            return await self.generate(name, request)

        return handle

    async def report(self, name, request):
        import json

        pace = SLOW if name in self.slow else 1.0
        known = ("stage", "models", "layers", "born", "kind")
        body = {it: self.entries[name][it] for it in known}
        body |= {"busy": False, "sequence": 0, "queued": 0, "active": 0}
        body |= {"kv_used": 0, "kv_total": 400000, "handles": 0, "pace": pace}
        body |= {"stalled": []}
        await request.answer(
            200, json.dumps(body).encode(), [("Content-Type", "application/json")]
        )

    async def generate(self, name, request):
        """Run a chain: stall behind a dark part, or stream the events."""
        path = [it.split("=")[0] for it in request.headers["hop-count"].split(",")]
        chain = [self.by_address[it] for it in path]
        self.record.add(
            f"engine {name} gets {request.id} for {chain}, Last-Event-Id "
            f"{request.headers.get('last-event-id', 'none')}"
        )
        dead = [it for it in chain if it in self.dark]
        if dead:
            await asyncio.sleep(STALL)
            self.record.add(f"engine {name} refuses {request.id}: {dead[0]} is dead")
            address = self.entries[dead[0]]["address"]
            headers = [("Not-Executed", "1"), ("At-Server", address)]
            return await request.answer(
                503, b"", [*headers, ("Request-Id", request.id)]
            )
        wait = FIRST_EVENT[name] * (SLOW if name in self.slow else 1)
        await asyncio.sleep(wait)
        self.record.add(f"engine {name} runs {request.id}: first event")
        first = int(request.headers.get("last-event-id") or 0) + 1
        await request.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nWeight-Versions: 1\r\n"
            + f"Request-Id: {request.id}\r\nReplica-Signature: s-{name}\r\n\r\n".encode()
        )
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: piece-{number}-of-{name}\n\n".encode()
            await request.send(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.06)
        await request.send(b"0\r\n\r\n")
        self.record.add(f"engine {name} has ended {request.id}")


async def call(record, gateway, request_id):
    """Send one request as a caller does, and return the ids of its events."""
    reader, writer = await asyncio.open_connection(*gateway.front)
    headers = [
        ("Request-Id", request_id),
        ("Deadline-Ms", "20000"),
        ("Authorization", f"Bearer {KEY}"),
        ("Model", "m0"),
        ("Token-Count", "760,172"),
        ("Length-Hint", "48"),
        ("Prompt-Prefix", f"5c1e07a2:40,{request_id}:720"),
        ("Content-Length", "2"),
    ]
    record.add(f"caller sends {request_id}")
    writer.write(head_of("POST", "/draft/1", headers) + b"{}")
    status, fields, body, whole = await asyncio.wait_for(read_stream(reader), 25)
    writer.close()
    lines = body.decode().split("\n")
    pieces = [it[6:] for it in lines if it.startswith("data: ")]
    record.add(
        f"caller gets {request_id}: status {status}, complete {whole}, "
        f"signature {fields.get('replica-signature')}, events {pieces}"
    )
    return status, [int(it.split("-")[1]) for it in pieces], whole


async def case(record, folder, gateways, servers):
    prefix, base = free_block()
    store = Store(f"{prefix}.50", base)
    await store.server.start()
    servers.append(store.server)
    engines = Engines(record, prefix, base)
    for server in engines.servers.values():
        await server.start()
        servers.append(server)
    await store.put("config", "main", MANIFEST)
    for name, entry in engines.entries.items():
        await store.put("servers", name, entry)
    for number in (1, 2, 3):
        gateway = GatewayProcess(folder, number, prefix, base, store.address, BOUNDS)
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            record.add("a gateway is not ready")
            return 2
    await asyncio.sleep(3.0)
    _, events, whole = await call(record, gateways[0], "aa00")
    if events != list(range(1, EVENTS + 1)) or not whole:
        record.add("the deployment does not serve")
        return 2
    if TROUBLE:
        record.add("i-x1 falls silent; i-e2 turns slow")
        engines.dark.add("i-x1")
        engines.slow.add("i-e2")
    began = time.monotonic()
    ids = [f"bb{number:02x}" for number in range(3)]
    calls = [asyncio.ensure_future(call(record, gateways[0], it)) for it in ids]
    if TROUBLE:
        await asyncio.sleep(FREEZE_AT - (time.monotonic() - began))
        record.add("gateway 1 freezes")
        gateways[0].signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE)
        gateways[0].signal(signal.SIGCONT)
        record.add("gateway 1 wakes")
    broken = False
    for request_id, found in zip(ids, await asyncio.gather(*calls)):
        status, events, whole = found
        if status != 200:
            continue
        expected = list(range(1, len(events) + 1))
        if events != expected or (whole and len(events) != EVENTS):
            record.add(f"ORDER is broken for {request_id}: {events}")
            broken = True
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(case, Path(__file__).resolve().parent)))
