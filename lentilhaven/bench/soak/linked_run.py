"""Runs a gateway on connections that follow the file of `cut_file`."""

import asyncio
import os
from pathlib import Path

from lentilhaven.bench.soak.cut_file import CUT_FILE_VARIABLE, decode_cut
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import running_tasks
from lentilhaven.gateway.connection_factories import ConnectionFactories
from lentilhaven.gateway.program import serve
from lentilhaven.platform.settings import read_settings
from lentilhaven.standins.platform.cut_links import GatewayLinks, LinkedConnector

log = get_logger("soak")


def read_text(path: Path) -> str:
    """Return the content of a file; empty if there is none."""
    return path.read_text() if path.exists() else ""


async def follow_file(links: GatewayLinks, path: Path, interval: float) -> None:
    """Apply the cut that the file states, until cancelled; `interval` in seconds."""
    known = ""
    while True:
        text = read_text(path)
        if text and text != known:
            known = text
            cut, hosts = decode_cut(text)
            log.info("cut changed", cut=cut.value if cut else "", hosts=len(hosts))
            if cut is None:
                links.end_cut()
            else:
                links.begin_cut(cut, hosts)
        await asyncio.sleep(interval)


async def run(interval: float) -> None:
    """
    Run the gateway until it is terminated.

    Parameters
    ----------
    interval : float
        Seconds between two reads of the file.
    """
    links = GatewayLinks()
    factories = ConnectionFactories(
        connector=lambda: LinkedConnector(links), connect=links.connect
    )
    path = Path(os.environ[CUT_FILE_VARIABLE])
    async with running_tasks(follow_file(links, path, interval)):
        await serve(read_settings(), factories)
