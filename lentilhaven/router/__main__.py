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
from lentilhaven.router.router_state import register_router_metrics, router_source
from lentilhaven.router.shutdown import drain
from lentilhaven.serving.daemon import run_daemon
from lentilhaven.serving.guarded_serving import serve_guarded
from lentilhaven.serving.metrics import make_metrics
from lentilhaven.serving.operators_app import operators_app
from lentilhaven.serving.process_signals import follow_signals

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
        Only check the settings and the files that they name.
    """
    return run_daemon(settings, RouterSettings, prepare_router, serve, check)


async def serve(settings: RouterSettings, files: RouterFiles) -> int:
    """
    Serve until SIGTERM or SIGINT, then drain; a second signal ends the drain.

    Parameters
    ----------
    settings : RouterSettings
        Settings.
    files : RouterFiles
        What the files that they name hold.

    Returns
    -------
    int
        1 if requests were cut off.
    """
    stopping, hurry = asyncio.Event(), asyncio.Event()
    clock, chance = system_clock(), random.SystemRandom()
    metrics = make_metrics("lentilhaven-router", settings.vm, settings.data_centre)
    async with open_router(settings, clock, chance, files.cluster_token) as router:
        register_router_metrics(router, metrics)
        source = router_source(router, metrics, stopping.set)
        follow_signals(stopping, hurry, source)
        callers, operators = router_app(router, metrics), settings.operators
        async with (
            serve_guarded(
                callers,
                settings.host,
                settings.port,
                settings.limits,
                files.callers_tls,
            ),
            serve_guarded(
                operators_app(source, files.operator_hashes),
                operators.host,
                operators.port,
                tls=files.operators_tls,
            ),
        ):
            await stopping.wait()
            return 1 if await drain(router, hurry) else 0


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
