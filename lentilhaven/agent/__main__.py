"""The program ``lentilhaven-agent``."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

import aiohttp
import cyclopts

from lentilhaven.agent.agent import Agent, open_agent
from lentilhaven.agent.agent_api import agent_app
from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.agent.agent_state import agent_source, register_agent_metrics
from lentilhaven.agent.preparation import AgentFiles, prepare_agent
from lentilhaven.core.clock import system_clock
from lentilhaven.objects.object_client import open_object_client
from lentilhaven.serving.daemon import run_daemon
from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.serving.metrics import count_dropped_clients, make_metrics
from lentilhaven.serving.operators_app import OperatorCallbacks, operators_app
from lentilhaven.serving.process_signals import follow_signals

#: Seconds between the announcement that this VM leaves and the exit, in which the
#: announcement is sent to the other VMs.
LEAVE_DELAY = 0.3

app = cyclopts.App(name="lentilhaven-agent", help="The control process of a VM.")


@app.default
def run(settings: Path, *, check: bool = False) -> int:
    """
    Run the agent until it is told to stop.

    Parameters
    ----------
    settings
        File of settings, JSON with comments.
    check
        Only check the settings and the files that they name.
    """
    return run_daemon(settings, AgentSettings, prepare_agent, serve, check)


async def serve(settings: AgentSettings, files: AgentFiles) -> int:
    """
    Serve until SIGTERM or SIGINT; return the exit code.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    files : AgentFiles
        Contents of the files that the settings name.
    """
    stopping = asyncio.Event()
    metrics = make_metrics("lentilhaven-agent", settings.vm, settings.data_centre)
    connector = aiohttp.TCPConnector(ssl=files.store_tls)
    async with (
        open_object_client(settings.store_url, connector) as client,
        open_agent(
            settings, client, system_clock(), token=files.cluster_token
        ) as agent,
    ):
        register_agent_metrics(agent, metrics)
        source = agent_source(agent, metrics, stopping.set)
        # One event for both arguments: the first signal already stops the agent.
        follow_signals(stopping, stopping, source)
        dropped = count_dropped_clients(metrics)
        await serve_listeners(settings, files, agent, source, stopping, dropped)
    return 0


async def serve_listeners(
    settings: AgentSettings,
    files: AgentFiles,
    agent: Agent,
    source: OperatorCallbacks,
    stopping: asyncio.Event,
    dropped: Counter[str],
) -> None:
    """
    Serve the internal API and the operators' API until `stopping` is set.

    Then announce to the other VMs that this one leaves.
    """
    processes = agent_app(agent, files.cluster_token)
    operators = settings.operators
    async with (
        serve_with_limits(
            processes,
            settings.host,
            settings.port,
            settings.limits,
            dropped=dropped,
        ),
        serve_with_limits(
            operators_app(source, files.operator_hashes),
            operators.host,
            operators.port,
            tls=files.operators_tls,
            dropped=dropped,
        ),
    ):
        await stopping.wait()
        agent.leave()
        await asyncio.sleep(LEAVE_DELAY)


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
