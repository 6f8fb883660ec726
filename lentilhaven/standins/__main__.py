"""Command line of the program ``lentilhaven-standin``."""

import asyncio
import random
import sys
from typing import Annotated

import cyclopts

from lentilhaven.core.ids import DataCentre, EndpointId, ModelVersion, VmId
from lentilhaven.core.serving import serve_app
from lentilhaven.objects.vm import ListedVm
from lentilhaven.standins.engine_api import serve_engine
from lentilhaven.standins.object_api import object_api_app
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.reports import reports_app
from lentilhaven.standins.service import Service, service_app
from lentilhaven.tables.layer_range import LayerRange

#: Parameter of an option that may be given several times, with one value each.
REPEATABLE = cyclopts.Parameter(negative="", consume_multiple=False)

app = cyclopts.App(name="lentilhaven-standin", help="Stand-ins for external systems.")


@app.command
def store(
    *,
    port: int,
    host: str = "127.0.0.1",
    seed: int = 1,
    vm: Annotated[list[str] | None, REPEATABLE] = None,
) -> None:
    """
    Serve the platform's object API.

    Parameters
    ----------
    port
        Port to listen on.
    host
        Address to listen on.
    seed
        Seed of the random faults.
    vm
        VM to list, as NAME,DATA_CENTRE,URL with the URL of its agent; may be repeated.
    """
    state = ObjectStore(random.Random(seed))
    for entry in vm or []:
        name, data_centre, url = entry.split(",")
        state.vms.append(ListedVm(VmId(name), url, DataCentre(data_centre)))
    asyncio.run(serve_forever(object_api_app(state), port, host))


@app.command
def reports(*, port: int, host: str = "127.0.0.1", seed: int = 1) -> None:
    """
    Serve random load reports of any number of endpoints.

    Parameters
    ----------
    port
        Port to listen on.
    host
        Address to listen on.
    seed
        Seed of the random loads.
    """
    asyncio.run(serve_forever(reports_app(random.Random(seed)), port, host))


@app.command
def service(*, port: int) -> None:
    """
    Serve a plain service.

    Parameters
    ----------
    port
        Port to listen on.
    """
    asyncio.run(serve_forever(service_app(Service()), port))


@app.command
def engine(name: str, start: int, stop: int, *, port: int, version: str = "v1") -> None:
    """
    Serve a model engine.

    Parameters
    ----------
    name
        Endpoint id of the engine.
    start
        Index of the first layer that the engine holds.
    stop
        Index after the last layer that the engine holds.
    port
        Port to listen on.
    version
        Model version that the engine holds.
    """
    asyncio.run(run_engine(name, LayerRange(start, stop), version, port))


async def serve_forever(application, port: int, host: str = "127.0.0.1") -> None:
    """Serve an aiohttp application until the process is stopped."""
    async with serve_app(application, host, port):
        await asyncio.Event().wait()


async def run_engine(name: str, layers: LayerRange, version: str, port: int) -> None:
    """Serve an engine that holds `layers` until the process is stopped."""
    engine_id, model_version = EndpointId(name), ModelVersion(version)
    async with serve_engine(engine_id, layers, model_version, port=port):
        await asyncio.Event().wait()


def main() -> None:
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
