"""What a fleet of agent processes has cost so far."""

import os
from pathlib import Path

import attrs

#: Bytes in a megabyte.
MEGABYTE = 1_000_000

#: Clock ticks a second in which the kernel counts processor time.
TICKS = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class FleetAgent:
    """
    One agent process.

    Attributes
    ----------
    vm, data_centre, url : str
        As in the platform's list.
    pid : int
        Its process.
    """

    vm: str
    data_centre: str
    url: str
    pid: int


@attrs.frozen
class FleetSample:
    """
    Totals over all agents at one moment.

    Attributes
    ----------
    time : float
        Monotonic time.
    processor : float
        Seconds of processor time.
    memory : float
        Largest resident memory of an agent, in bytes.
    moved : int
        Bytes that the loopback interface has received and sent.
    store_calls : int
        Calls that the store has answered.
    waiting : int
        Watches that wait at the store.
    """

    time: float
    processor: float
    memory: float
    moved: int
    store_calls: int
    waiting: int


@attrs.frozen
class FleetCost:
    """
    The cost of one agent, as the mean over a fleet.

    Attributes
    ----------
    nodes, replicas : int
        Size of the fleet.
    edits_per_second : float
        Edits accepted.
    processor : float
        Share of a core.
    memory : float
        Megabytes, of the largest agent.
    bytes_per_second : float
        Sent and received, with the headers of all layers; at most, since what
        goes to and from the stand-ins is counted at both ends.
    store_calls : float
        Calls a second of the whole fleet, without those that wait.
    waiting : float
        Watches of the whole fleet that wait at the store.
    suspected : int
        Suspicions that agents hold at the end, though every agent runs.
    """

    nodes: int
    replicas: int
    edits_per_second: float
    processor: float
    memory: float
    bytes_per_second: float
    store_calls: float
    waiting: float
    suspected: int = 0


def read_agents(folder: Path) -> list[FleetAgent]:
    """
    Read the list of agents that the wrapper script has started.

    Parameters
    ----------
    folder : Path
        The script's folder.
    """
    lines = (folder / "agents").read_text(encoding="utf-8").splitlines()
    agents = []
    for line in lines:
        vm, place, url, pid = line.split()
        agents.append(FleetAgent(vm, place, url, int(pid)))
    return agents


def read_processor(pid: int) -> float:
    """Return the seconds of processor time that a process has used."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_memory(pid: int) -> int:
    """Return a process's resident memory in bytes."""
    pages = Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def read_loopback() -> int:
    """
    Return the bytes received and sent by the loopback interface.

    Raises
    ------
    ValueError
        If there is no loopback interface.
    """
    text = Path("/proc/net/dev").read_text(encoding="utf-8")
    for line in text.splitlines()[2:]:
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            fields = rest.split()
            return int(fields[0]) + int(fields[8])
    raise ValueError("there is no interface called 'lo'")


def compare_samples(
    before: FleetSample,
    after: FleetSample,
    nodes: int,
    replicas: int,
    edits: int,
) -> FleetCost:
    """
    Return the cost of one agent between two samples.

    A byte between agents is counted by the interface once as sent and once as
    received, and so it is at the two agents.  A byte between an agent and a
    stand-in is counted twice too, which makes the figure an upper bound.

    Parameters
    ----------
    before, after : FleetSample
        The samples.
    nodes, replicas, edits : int
        Agents, endpoints, and edits accepted in between.
    """
    seconds = after.time - before.time
    moved = after.moved - before.moved
    return FleetCost(
        nodes,
        replicas,
        edits / seconds,
        (after.processor - before.processor) / seconds / nodes,
        after.memory / MEGABYTE,
        moved / seconds / nodes,
        (after.store_calls - before.store_calls) / seconds,
        (before.waiting + after.waiting) / 2,
    )
