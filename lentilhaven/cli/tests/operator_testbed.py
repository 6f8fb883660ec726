"""A testbed with operators' listeners, and a way to run the operators' client on it."""

import asyncio
import contextlib
import io
import json
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import attrs

from lentilhaven.agent.agent_state import agent_source, register_agent_metrics
from lentilhaven.cli.__main__ import app
from lentilhaven.core.hashing import token_hash
from lentilhaven.router.router_api import router_app
from lentilhaven.router.router_state import operator_source, register_router_metrics
from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.serving.metrics import make_metrics
from lentilhaven.serving.operators_app import operators_app
from lentilhaven.testbed import TestbedPlan, open_testbed

OPERATOR_TOKEN = "operator-token-of-the-tests"
OPERATOR_TOKEN_HASHES = frozenset({token_hash(OPERATOR_TOKEN)})


@attrs.define
class OperatorTestbed:
    """A running testbed, its URLs, and a folder for the client's files."""

    testbed: object
    folder: Path
    agent_urls: dict = attrs.field(factory=dict)
    router_urls: dict = attrs.field(factory=dict)
    caller_urls: dict = attrs.field(factory=dict)
    drained_vms: list = attrs.field(factory=list)

    def write_json(self, name, document):
        """Write a JSON file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(document), encoding="utf-8")
        return str(path)

    async def run(self, *arguments):
        """Run the operators' client; return its exit code, output and error output."""
        settings = {
            "store_url": self.testbed.store_url,
            "token_file": str(self.folder / "token"),
            "agent_urls": self.agent_urls,
            "router_urls": self.router_urls,
        }
        # The command "check" works offline and has no option --settings.
        options = ["--settings", self.write_json("client.json", settings)]
        options = [] if arguments[0] == "check" else options
        return await asyncio.to_thread(run_client, [*arguments, *options])


def run_client(arguments):
    """Run the operators' client in this process."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = app(arguments, result_action="return_value")
    return int(code), output.getvalue(), errors.getvalue()


async def serve_operators(system, vm, stack):
    """Serve the operators' listeners and the callers' listener of one VM."""
    name = vm.router.settings.vm
    metrics = make_metrics("lentilhaven-router", name, "mty-a")
    register_router_metrics(vm.router, metrics)
    router = operator_source(
        vm.router, metrics, lambda: system.drained_vms.append(name)
    )
    agent_metrics = make_metrics("lentilhaven-agent", name, "mty-a")
    register_agent_metrics(vm.agent, agent_metrics)
    agent = agent_source(vm.agent, agent_metrics, lambda: None)
    for source, urls in ((router, system.router_urls), (agent, system.agent_urls)):
        serving = serve_with_limits(
            operators_app(source, OPERATOR_TOKEN_HASHES), "127.0.0.1", 0
        )
        urls[name] = await stack.enter_async_context(serving)
    callers = serve_with_limits(router_app(vm.router, metrics), "127.0.0.1", 0)
    system.caller_urls[name] = await stack.enter_async_context(callers)


@asynccontextmanager
async def open_operator_testbed(vm_count=2):
    """Start a testbed over loopback with operators' listeners."""
    plan = TestbedPlan(virtual=False, vm_count=vm_count, replica_count=2)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        (folder / "token").write_text(OPERATOR_TOKEN + "\n")
        testbed = await stack.enter_async_context(open_testbed(plan))
        system = OperatorTestbed(testbed, folder)
        for vm in testbed.vms:
            await serve_operators(system, vm, stack)
        yield system
