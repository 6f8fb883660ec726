"""
The scenario ``stops``: a gateway stops while it gets little processor time.

Callers send each request on a new connection until the gateway accepts no more.  The
event loop of a process that is suspended again and again accepts and reads late, as on
a busy machine, so that requests wait in the kernel when the gateway stops.
"""

import asyncio
import signal
import tempfile
from pathlib import Path

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.soak.gateway_process import GatewayProcess
from lentilhaven.bench.soak.kept_connection import open_connection
from lentilhaven.bench.soak.soak_callers import MAX_IDLE, Attempt, SoakCallers
from lentilhaven.bench.soak.soak_environment import open_environment
from lentilhaven.core.tasks import running_tasks

#: Number of stops if no size is given.
DEFAULT_STOPS = 10

#: Number of callers.
CALLERS = 12

#: Mean seconds between two requests of a caller.
MEAN_PAUSE = 0.01

#: Seconds for which callers send requests before a stop.
LEAD_TIME = 0.5

#: Seconds for which the process runs, and for which it is suspended, in turn.
RUNNING_TIME, SUSPENDED_TIME = 0.005, 0.02


def run_stops(options: ScenarioOptions) -> Report:
    """
    Stop a gateway several times and count the requests without an answer.

    A stop that ends by SIGKILL, since the machine was too busy to run the process, does
    not count; such stops are reported.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of stops.
    """
    with tempfile.TemporaryDirectory(prefix=f"stops-{options.seed}-") as folder:
        figures = asyncio.run(measure_stops(options, Path(folder)))
    return Report("stops", options.seed, figures)


async def measure_stops(options: ScenarioOptions, folder: Path) -> dict[str, Figure]:
    """Run the stops and return the figures."""
    stops = options.size or DEFAULT_STOPS
    counted: list[Attempt] = []
    killed = 0
    async with open_environment(options.seed, 1, folder) as environment:
        (gateway,) = environment.gateways
        for _ in range(stops):
            await gateway.wait_until_ready()
            attempts = await stop_beside_callers(gateway, environment.callers)
            if attempts is None:
                killed += 1
            else:
                counted += attempts
            await gateway.start()
    reached = [attempt for attempt in counted if attempt.reached]
    lost = sum(attempt.closed for attempt in reached)
    return {
        "requests that got no whole answer": at_most(lost, 0, "requests"),
        "requests": at_least(len(reached), 1, "requests"),
        "refused": observed(sum(it.status == 503 for it in reached), "requests"),
        "stops": observed(stops, "stops"),
        "stops that ended by SIGKILL": observed(killed, "stops"),
    }


async def stop_beside_callers(
    gateway: GatewayProcess, callers: SoakCallers
) -> list[Attempt] | None:
    """
    Stop a gateway beside callers and return their requests; None if it was killed.

    Parameters
    ----------
    gateway : GatewayProcess
        Gateway that runs.
    callers : SoakCallers
        Sends the requests.
    """
    first = len(callers.attempts)
    address = gateway.decoded_settings.callers
    calls = [
        asyncio.ensure_future(call_until_refused(callers, address))
        for _ in range(CALLERS)
    ]
    async with running_tasks(throttle(gateway)):
        await asyncio.sleep(LEAD_TIME)
        has_ended = await gateway.stop()
    await asyncio.gather(*calls)
    return callers.attempts[first:] if has_ended else None


async def call_until_refused(callers: SoakCallers, address: str) -> None:
    """Send requests, each on a new connection, until a connection is refused."""
    attempt = None
    while attempt is None or attempt.reached:
        attempt = callers.draw_attempt(0, has_faulty_prompts=False)
        async with open_connection(address, MAX_IDLE) as connection:
            await callers.send_request(connection, attempt)
        await asyncio.sleep(callers.random.expovariate(1 / MEAN_PAUSE))


async def throttle(gateway: GatewayProcess) -> None:
    """Suspend and resume a gateway in turn, until cancelled."""
    while True:
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(SUSPENDED_TIME)
        gateway.send_signal(signal.SIGCONT)
        await asyncio.sleep(RUNNING_TIME)
