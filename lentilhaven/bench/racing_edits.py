"""Operators that edit the tables at once, over a store that loses answers."""

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
from lentilhaven.distribution.editing import edit_tables, read_current
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

#: Number of operators that race.
OPERATORS = 4

#: Share of writes whose answer is lost, and of writes lost before they take effect.
LOST_ANSWERS, LOST_REQUESTS = 0.05, 0.02

#: Share of calls that the store refuses.
REFUSALS = 0.02

STORE_PORT = 9_000


@attrs.define
class Race:
    """
    Operators and what they were told.

    Attributes
    ----------
    client : ObjectClient
        The platform's store.
    clock : Clock
        Source of time.
    accepted : Counter
        Accepted edits by operator.
    unknown : Counter
        Edits of which it was never learnt whether they took effect, by operator.
    refused : int
        Edits that did not take effect.
    edits : list of str
        Accepted edits' ids.
    """

    client: ObjectClient
    clock: Clock
    accepted: Counter[str] = attrs.field(factory=Counter)
    unknown: Counter[str] = attrs.field(factory=Counter)
    refused: int = 0
    edits: list[str] = attrs.field(factory=list)

    async def operate(self, name: str, count: int, source: random.Random) -> None:
        """
        Make some edits, one after the other.

        Parameters
        ----------
        name : str
            The operator, who owns a workspace of the same name.
        count : int
            Number of edits.
        source : random.Random
            Source of chance.
        """
        for index in range(count):
            change = choose_change(name, index, source)
            outcome = await edit_tables(
                self.client, change, f"{name}-{index}", name, self.clock
            )
            await self.clock.sleep(source.uniform(0.0, 0.02))
            if outcome.is_ok() and isinstance(outcome.ok, Committed):
                self.accepted[name] += 1
                self.edits.append(outcome.ok.head.edit)
            elif outcome.is_error() and outcome.error.ran is Ran.UNKNOWN:
                self.unknown[name] += 1
            else:
                self.refused += 1


def choose_change(name: str, index: int, source: random.Random):
    """
    Return an edit that counts itself and moves a pool or a route.

    Half of the edits remove a pool that no route names, or add a route to a pool
    that is there: each is valid alone, both together are not.
    """
    kind = source.choice(("count", "count", "route", "pool"))

    def change(tables: Tables) -> Result[Tables, Failure]:
        counted = count_edit(tables, name)
        if kind == "route":
            return Ok(add_route(counted, f"route-{name}-{index}"))
        return Ok(toggle_pool(counted) if kind == "pool" else counted)

    return change


def count_edit(tables: Tables, name: str) -> Tables:
    """Return tables in which an operator's workspace counts one more edit."""
    workspaces = [
        attrs.evolve(it, max_concurrency=it.max_concurrency + (it.id == name))
        for it in tables.workspaces
    ]
    return attrs.evolve(tables, workspaces=workspaces)


def add_route(tables: Tables, name: str) -> Tables:
    """Return tables with a route to the spare pool if that is there."""
    if all(pool.name != "spare" for pool in tables.pools):
        return tables
    route = Route(RouteName(name), PoolName("spare"))
    return attrs.evolve(tables, routes=[*tables.routes[-5:], route])


def toggle_pool(tables: Tables) -> Tables:
    """Return tables without the spare pool and its routes, or with it again."""
    others = [pool for pool in tables.pools if pool.name != "spare"]
    if len(others) < len(tables.pools):
        return attrs.evolve(tables, pools=others, routes=[])
    spare = Pool(PoolName("spare"), PoolKind.SERVICE, [])
    return attrs.evolve(tables, pools=[*others, spare])


async def race_operators(seed: int, size: int) -> dict[str, Figure]:
    """
    Let operators race, and compare the outcome with what they were told.

    Parameters
    ----------
    seed : int
        Seed of every random source.
    size : int
        Number of edits over all operators.
    """
    store = ObjectStore(derive_random(seed, "race", "store"))
    store.faults.lost_answer_rate = LOST_ANSWERS
    store.faults.lost_request_rate = LOST_REQUESTS
    store.faults.refusal_rate = REFUSALS
    clock = loop_clock()
    async with (
        serve_app(object_api_app(store), port=STORE_PORT) as url,
        open_object_client(url, VirtualConnector(limit=0), clock) as client,
    ):
        race = Race(client, clock)
        await start_race(race)
        names = [f"operator-{index}" for index in range(OPERATORS)]
        shares = [
            size // OPERATORS + (it < size % OPERATORS) for it in range(OPERATORS)
        ]
        await asyncio.gather(
            *(
                race.operate(name, share, derive_random(seed, "race", name))
                for name, share in zip(names, shares, strict=True)
            )
        )
        store.faults.lost_answer_rate = store.faults.lost_request_rate = 0.0
        store.faults.refusal_rate = 0.0
        return await judge(race, size)


async def start_race(race: Race) -> None:
    """Put the first tables in force."""
    workspaces = [
        Workspace(WorkspaceId(f"operator-{index}"), []) for index in range(OPERATORS)
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


async def judge(race: Race, size: int) -> dict[str, Figure]:
    """Return the figures of a race that is over."""
    head, tables = (await read_current(race.client)).ok
    history = (await read_history(race.client)).ok
    made = Counter(head.edit for head in history)
    lost = sum(made[edit] != 1 for edit in race.edits)
    counts = {it.id: it.max_concurrency for it in tables.workspaces}
    for name in counts:
        most = race.accepted[name] + race.unknown[name]
        lost += not race.accepted[name] <= counts[name] <= most
    gaps = [it.version for it in history] != list(range(1, head.version + 1))
    skewed = validate_tables(tables).is_error()
    settled = sum(race.accepted.values()) + race.refused + sum(race.unknown.values())
    return {
        "racing_edits": at_least(settled, size, "edits"),
        "racing_accepted": observed(sum(race.accepted.values()), "edits"),
        "racing_refused": observed(race.refused, "edits"),
        "racing_unknown": observed(sum(race.unknown.values()), "edits"),
        "lost_updates": at_most(lost, 0, "edits"),
        "history_gaps": at_most(int(gaps), 0, "gaps"),
        "invalid_tables": at_most(int(skewed), 0, "tables"),
    }
