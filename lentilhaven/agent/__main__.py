"""The program ``lentilhaven-agent``."""

import asyncio
import signal
import sys
from pathlib import Path

import cyclopts

from lentilhaven.agent.agent import open_agent
from lentilhaven.agent.agent_api import agent_app
from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.core.clock import system_clock
from lentilhaven.core.logs import configure_logs
from lentilhaven.core.secrets import read_secret
from lentilhaven.core.serving import serve_app
from lentilhaven.core.settings import read_document
from lentilhaven.platform.object_client import open_object_client

#: Seconds in which the news that this VM leaves is sent.
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
        Only check the settings.
    """
    parsed = read_document(settings, AgentSettings)
    if parsed.is_error():
        print(parsed.error, file=sys.stderr)
        return 2
    if check:
        return 0
    configure_logs(parsed.ok.log_level)
    asyncio.run(serve(parsed.ok))
    return 0


async def serve(settings: AgentSettings) -> None:
    """
    Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : AgentSettings
        Settings.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    token = read_secret(settings.cluster_token_file)
    async with (
        open_object_client(settings.store_url) as client,
        open_agent(settings, client, system_clock(), token=token) as agent,
        serve_app(agent_app(agent, token), settings.host, settings.port),
    ):
        await stopping.wait()
        agent.leave()
        await asyncio.sleep(LEAVE_DELAY)


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
