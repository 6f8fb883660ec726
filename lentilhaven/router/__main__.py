"""The program ``lentilhaven-router``."""

import asyncio
import random
import signal
import sys
from pathlib import Path

import cyclopts

from lentilhaven.core.clock import system_clock
from lentilhaven.core.logs import configure_logs
from lentilhaven.core.secrets import read_secret
from lentilhaven.core.serving import serve_app
from lentilhaven.core.settings import read_document
from lentilhaven.router.router import open_router
from lentilhaven.router.router_api import router_app
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.router.shutdown import drain

app = cyclopts.App(name="lentilhaven-router", help="The data path of a VM.")


@app.default
def run(settings: Path, *, check: bool = False) -> int:
    """
    Run the router until it is told to stop.

    Parameters
    ----------
    settings
        File of settings, JSON with comments.
    check
        Only check the settings.
    """
    parsed = read_document(settings, RouterSettings)
    if parsed.is_error():
        print(parsed.error, file=sys.stderr)
        return 2
    if check:
        return 0
    configure_logs(parsed.ok.log_level)
    return 1 if asyncio.run(serve(parsed.ok)) else 0


async def serve(settings: RouterSettings) -> int:
    """
    Serve until SIGTERM or SIGINT, then drain; a second signal ends the drain.

    Parameters
    ----------
    settings : RouterSettings
        Settings.

    Returns
    -------
    int
        Number of requests that were cut off.
    """
    stopping, hurry = asyncio.Event(), asyncio.Event()

    def stop() -> None:
        if stopping.is_set():
            hurry.set()
        stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    token = read_secret(settings.cluster_token_file)
    source = random.SystemRandom()
    async with (
        open_router(settings, system_clock(), source, token) as router,
        serve_app(router_app(router), settings.host, settings.port),
    ):
        await stopping.wait()
        return await drain(router, hurry)


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
