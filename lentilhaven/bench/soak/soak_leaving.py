"""A replica that leaves as planned and returns."""

import asyncio

from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_tables import DRAIN_TIMEOUT
from lentilhaven.standins.platform import FakeReplica
from lentilhaven.standins.platform.fake_replica import Run

#: Seconds after `DRAIN_TIMEOUT` in which the replica's requests are counted.
COUNTED_TIME = 1.0

#: Seconds between the deletion of the replica's entry and its return.
AWAY_TIME = 0.5


async def leave_and_return(
    environment: SoakEnvironment, replica: FakeReplica
) -> list[Run]:
    """
    Let a plain replica announce that it leaves, and start it again later.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the replica.
    replica : FakeReplica
        The replica that leaves.

    Returns
    -------
    list of Run
        Requests that it got in `COUNTED_TIME`, once `DRAIN_TIMEOUT` was over.
    """
    replica.draining = True
    environment.fleet.register(replica)
    await asyncio.sleep(DRAIN_TIMEOUT)
    run_count = len(replica.runs)
    await asyncio.sleep(COUNTED_TIME)
    late_runs = replica.runs[run_count:]
    environment.store.delete("servers", replica.id)
    await asyncio.sleep(AWAY_TIME)
    replica.draining = False
    # The replica returns with a later start time, as after a restart.
    replica.born += 1000
    environment.fleet.register(replica)
    return late_runs
