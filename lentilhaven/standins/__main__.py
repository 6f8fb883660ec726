"""The program ``lentilhaven-standin``."""

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

#: How an option is given that may be repeated.
LISTED = cyclopts.Parameter(negative="", consume_multiple=False)

app = cyclopts.App(name="lentilhaven-standin", help="Stand-ins of outside systems.")


@app.command
def store(
    *,
    port: int,
    host: str = "127.0.0.1",
    seed: int = 1,
    vm: Annotated[list[str] | None, LISTED] = None,
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
        Seed of the faults.
    vm
        A VM of the list as NAME,DATA_CENTRE,URL of its agent; may be repeated.
    """
    state = ObjectStore(random.Random(seed))
    for text in vm or []:
        name, data_centre, url = text.split(",")
        state.vms.append(ListedVm(VmId(name), url, DataCentre(data_centre)))
    asyncio.run(serve_for_ever(object_api_app(state), port, host))


@app.command
def reports(*, port: int, host: str = "127.0.0.1", seed: int = 1) -> None:
    """
    Serve the load reports of any number of endpoints.

    Parameters
    ----------
    port
        Port to listen on.
    host
        Address to listen on.
    seed
        Seed of the figures.
    """
    asyncio.run(serve_for_ever(reports_app(random.Random(seed)), port, host))


@app.command
def service(*, port: int) -> None:
    """
    Serve a plain service.

    Parameters
    ----------
    port
        Port to listen on.
    """
    asyncio.run(serve_for_ever(service_app(Service()), port))


@app.command
def engine(name: str, start: int, stop: int, *, port: int, version: str = "v1") -> None:
    """
    Serve a model engine.

    Parameters
    ----------
    name
        Its endpoint id.
    start
        Its first layer.
    stop
        One past its last layer.
    port
        Port to listen on.
    version
        Model version.
    """
    asyncio.run(run_engine(name, LayerRange(start, stop), version, port))


async def serve_for_ever(api, port: int, host: str = "127.0.0.1") -> None:
    """Serve an application until the process is told to stop."""
    async with serve_app(api, host, port):
        await asyncio.Event().wait()


async def run_engine(name: str, layers: LayerRange, version: str, port: int) -> None:
    """Serve an engine until the process is told to stop."""
    engine_id, model_version = EndpointId(name), ModelVersion(version)
    async with serve_engine(engine_id, layers, model_version, port=port):
        await asyncio.Event().wait()


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
