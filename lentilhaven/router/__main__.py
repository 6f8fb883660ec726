"""The program ``lentilhaven-router``."""

import asyncio
import random
import sys
from pathlib import Path

import cyclopts

from lentilhaven.core.clock import system_clock
from lentilhaven.router.preparation import RouterFiles, prepare_router
from lentilhaven.router.router import open_router
from lentilhaven.router.router_api import router_app
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.router.router_state import operator_source, register_router_metrics
from lentilhaven.router.shutdown import drain
from lentilhaven.serving.daemon import run_daemon
from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.serving.metrics import count_dropped_clients, make_metrics
from lentilhaven.serving.operators_app import operators_app
from lentilhaven.serving.process_signals import follow_signals

app = cyclopts.App(name="lentilhaven-router", help="The data path of a VM.")


@app.default
def run(settings: Path, *, check: bool = False) -> int:
    """
    Run the router until it receives SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        Settings file, JSON with comments.
    check
        Only check the settings and the files that they name.
    """
    return run_daemon(settings, RouterSettings, prepare_router, serve, check)


async def serve(settings: RouterSettings, files: RouterFiles) -> int:
    """
    Serve until SIGTERM or SIGINT, then drain; a second signal ends the drain.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the router.
    files : RouterFiles
        Contents of the files that the settings name.

    Returns
    -------
    int
        Exit code: 1 if requests were cut off, 0 otherwise.
    """
    stop_requested, force_stop = asyncio.Event(), asyncio.Event()
    clock, rng = system_clock(), random.SystemRandom()
    metrics = make_metrics("lentilhaven-router", settings.vm, settings.data_centre)
    async with open_router(settings, clock, rng, files.cluster_token) as router:
        register_router_metrics(router, metrics)
        source = operator_source(router, metrics, stop_requested.set)
        follow_signals(stop_requested, force_stop, source)
        dropped = count_dropped_clients(metrics)
        callers, operators = router_app(router, metrics), settings.operators
        async with (
            serve_with_limits(
                callers,
                settings.host,
                settings.port,
                settings.limits,
                files.callers_tls,
                dropped,
            ),
            serve_with_limits(
                operators_app(source, files.operator_hashes),
                operators.host,
                operators.port,
                tls=files.operators_tls,
                dropped=dropped,
            ),
        ):
            await stop_requested.wait()
            return 1 if await drain(router, force_stop) else 0


def main() -> None:
    """Parse the command line, run the program and exit with its code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
