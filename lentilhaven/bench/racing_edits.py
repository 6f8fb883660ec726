"""Operators that edit the tables concurrently in a store that loses answers."""

import asyncio
import itertools
import random
from collections import Counter

import attrs
from expression import Ok, Result

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.core.clock import Clock, loop_clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import PoolName, RouteName, WorkspaceId
from lentilhaven.core.ran import Ran
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.serving import serve_app
from lentilhaven.distribution.commit import Committed
from lentilhaven.distribution.editing import edit_tables, read_current_tables
from lentilhaven.distribution.table_reader import read_history
from lentilhaven.objects.object_client import ObjectClient, open_object_client
from lentilhaven.standins.object_api import object_api_app
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import VirtualConnector
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import validate_tables
from lentilhaven.tables.workspace import Workspace

#: Number of operators that edit concurrently.
OPERATOR_COUNT = 4

#: Share of writes whose answer is lost, and of writes lost before they take effect.
LOST_ANSWER_RATE, LOST_REQUEST_RATE = 0.05, 0.02

#: Share of calls that the store refuses.
REFUSAL_RATE = 0.02

STORE_PORT = 9_000


@attrs.define
class Race:
    """
    Concurrent edits and the outcomes reported to the operators.

    Attributes
    ----------
    client : ObjectClient
        Client of the platform's store.
    clock : Clock
        Source of time.
    accepted : Counter
        Number of accepted edits by operator.
    unknown : Counter
        Number of edits whose outcome remained unknown, by operator.
    refused : int
        Number of edits that did not take effect.
    edits : list of str
        Ids of accepted edits.
    """

    client: ObjectClient
    clock: Clock
    accepted: Counter[str] = attrs.field(factory=Counter)
    unknown: Counter[str] = attrs.field(factory=Counter)
    refused: int = 0
    edits: list[str] = attrs.field(factory=list)

    async def make_edits(self, name: str, count: int, rng: random.Random) -> None:
        """
        Make edits sequentially and record their outcomes.

        Parameters
        ----------
        name : str
            Operator; its workspace, which counts its edits, has the same name.
        count : int
            Number of edits.
        rng : random.Random
            Source of randomness.
        """
        for index in range(count):
            change = choose_change(name, index, rng)
            outcome = await edit_tables(
                self.client, change, f"{name}-{index}", name, self.clock
            )
            await self.clock.sleep(rng.uniform(0.0, 0.02))
            if outcome.is_ok() and isinstance(outcome.ok, Committed):
                self.accepted[name] += 1
                self.edits.append(outcome.ok.head.edit)
            elif outcome.is_error() and outcome.error.ran is Ran.UNKNOWN:
                self.unknown[name] += 1
            else:
                self.refused += 1


def choose_change(name: str, index: int, rng: random.Random):
    """
    Return a random edit that counts itself, and may toggle a pool or add a route.

    Half of the edits remove or add the spare pool, or add a route to it if it
    exists.  Removing the pool and adding a route are each valid alone; both
    together are not.
    """
    kind = rng.choice(("count", "count", "route", "pool"))

    def change(tables: Tables) -> Result[Tables, Failure]:
        counted = count_edit(tables, name)
        if kind == "route":
            return Ok(add_route(counted, f"route-{name}-{index}"))
        return Ok(toggle_pool(counted) if kind == "pool" else counted)

    return change


def count_edit(tables: Tables, name: str) -> Tables:
    """Return tables with the edit count of an operator's workspace increased."""
    workspaces = [
        attrs.evolve(it, max_concurrency=it.max_concurrency + (it.id == name))
        for it in tables.workspaces
    ]
    return attrs.evolve(tables, workspaces=workspaces)


def add_route(tables: Tables, name: str) -> Tables:
    """
    Return tables with a new route to the spare pool, if the pool exists.

    Only the last five older routes are kept.
    """
    if all(pool.name != "spare" for pool in tables.pools):
        return tables
    route = Route(RouteName(name), PoolName("spare"))
    return attrs.evolve(tables, routes=[*tables.routes[-5:], route])


def toggle_pool(tables: Tables) -> Tables:
    """Return tables with the spare pool added, or removed with its routes."""
    others = [pool for pool in tables.pools if pool.name != "spare"]
    if len(others) < len(tables.pools):
        return attrs.evolve(tables, pools=others, routes=[])
    spare = Pool(PoolName("spare"), PoolKind.SERVICE, [])
    return attrs.evolve(tables, pools=[*others, spare])


async def race_operators(seed: int, size: int) -> dict[str, Figure]:
    """
    Let operators edit concurrently; compare the tables with the reported outcomes.

    Parameters
    ----------
    seed : int
        Seed of all random draws.
    size : int
        Total number of edits.
    """
    store = ObjectStore(derive_random(seed, "race", "store"))
    store.faults.lost_answer_rate = LOST_ANSWER_RATE
    store.faults.lost_request_rate = LOST_REQUEST_RATE
    store.faults.refusal_rate = REFUSAL_RATE
    clock = loop_clock()
    async with (
        serve_app(object_api_app(store), port=STORE_PORT) as url,
        open_object_client(url, VirtualConnector(limit=0), clock) as client,
    ):
        race = Race(client, clock)
        await apply_initial_tables(race)
        names = [f"operator-{index}" for index in range(OPERATOR_COUNT)]
        operator_shares = [
            size // OPERATOR_COUNT + (it < size % OPERATOR_COUNT)
            for it in range(OPERATOR_COUNT)
        ]
        await asyncio.gather(
            *(
                race.make_edits(name, edit_count, derive_random(seed, "race", name))
                for name, edit_count in zip(names, operator_shares, strict=True)
            )
        )
        store.faults.lost_answer_rate = store.faults.lost_request_rate = 0.0
        store.faults.refusal_rate = 0.0
        return await make_figures(race, size)


async def apply_initial_tables(race: Race) -> None:
    """Commit the initial tables, with one workspace per operator; retry failures."""
    workspaces = [
        Workspace(WorkspaceId(f"operator-{index}"), [])
        for index in range(OPERATOR_COUNT)
    ]

    def change(_: Tables) -> Result[Tables, Failure]:
        return Ok(Tables(workspaces=workspaces))

    outcome = None
    for attempt in itertools.count():
        outcome = await edit_tables(
            race.client, change, f"first-{attempt}", "first", race.clock
        )
        if outcome.is_ok():
            return


async def make_figures(race: Race, size: int) -> dict[str, Figure]:
    """Return the figures of a finished race."""
    head, tables = (await read_current_tables(race.client)).ok
    history = (await read_history(race.client)).ok
    edit_counts = Counter(head.edit for head in history)
    lost = sum(edit_counts[edit] != 1 for edit in race.edits)
    counts = {it.id: it.max_concurrency for it in tables.workspaces}
    for name in counts:
        max_count = race.accepted[name] + race.unknown[name]
        lost += not race.accepted[name] <= counts[name] <= max_count
    has_gaps = [it.version for it in history] != list(range(1, head.version + 1))
    is_invalid = validate_tables(tables).is_error()
    finished = sum(race.accepted.values()) + race.refused + sum(race.unknown.values())
    return {
        "racing_edits": at_least(finished, size, "edits"),
        "racing_accepted": observed(sum(race.accepted.values()), "edits"),
        "racing_refused": observed(race.refused, "edits"),
        "racing_unknown": observed(sum(race.unknown.values()), "edits"),
        "lost_updates": at_most(lost, 0, "edits"),
        "history_gaps": at_most(int(has_gaps), 0, "gaps"),
        "invalid_tables": at_most(int(is_invalid), 0, "tables"),
    }
