"""Resource use of a fleet of agent processes."""

import os
from pathlib import Path

import attrs

#: Bytes in a megabyte.
MEGABYTE = 1_000_000

#: Clock ticks per second; the kernel counts processor time in ticks.
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class FleetAgent:
    """
    One agent process.

    Attributes
    ----------
    vm, data_centre, url : str
        Id, data centre and URL, as in the platform's list.
    pid : int
        Process id.
    """

    vm: str
    data_centre: str
    url: str
    pid: int


@attrs.frozen
class FleetSample:
    """
    Resource use of all agents at one moment.

    Attributes
    ----------
    time : float
        Monotonic time, in seconds.
    processor : float
        Processor time of all agents, in seconds.
    memory : float
        Largest resident memory of an agent, in bytes.
    loopback_bytes : int
        Bytes that the loopback interface has received and sent.
    store_calls : int
        Number of calls that the store has answered.
    waiting : int
        Number of watches that wait at the store.
    """

    time: float
    processor: float
    memory: float
    loopback_bytes: int
    store_calls: int
    waiting: int


@attrs.frozen
class FleetCost:
    """
    Cost of the agents of a fleet, per agent unless stated otherwise.

    Attributes
    ----------
    nodes, replicas : int
        Number of agents and of endpoints.
    edits_per_second : float
        Edits accepted per second.
    processor : float
        Mean share of a core.
    memory : float
        Resident memory of the largest agent, in megabytes.
    bytes_per_second : float
        Mean bytes sent and received, with the headers of all network layers.  An
        upper bound: traffic with the stand-ins is counted at both ends.
    store_calls : float
        Store calls per second of the whole fleet, without waiting watches.
    waiting : float
        Number of watches of the whole fleet that wait at the store; mean of the
        samples before and after the measurement.
    suspected : int
        Number of VMs that an agent suspects at the end, summed over all agents; every
        suspicion is false, since all agents run.
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
    Read the list of agents that ``scripts/control-fleet`` has started.

    Parameters
    ----------
    folder : Path
        Working folder of the script.
    """
    lines = (folder / "agents").read_text(encoding="utf-8").splitlines()
    agents = []
    for line in lines:
        vm, data_centre, url, pid = line.split()
        agents.append(FleetAgent(vm, data_centre, url, int(pid)))
    return agents


def read_processor(pid: int) -> float:
    """Return the seconds of processor time that a process has used."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    # Without the pid and the name, fields 11 and 12 are utime and stime, in ticks.
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_memory(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def read_loopback() -> int:
    """
    Return the bytes received and sent by the loopback interface.

    Raises
    ------
    ValueError
        If there is no interface ``lo``.
    """
    text = Path("/proc/net/dev").read_text(encoding="utf-8")
    for line in text.splitlines()[2:]:
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            # Fields 0 and 8 are the bytes received and sent.
            fields = rest.split()
            return int(fields[0]) + int(fields[8])
    raise ValueError("/proc/net/dev lists no loopback interface 'lo'")


def compare_samples(
    before: FleetSample,
    after: FleetSample,
    nodes: int,
    replicas: int,
    edits: int,
) -> FleetCost:
    """
    Return the cost of a fleet between two samples.

    The loopback interface counts each byte twice, as sent and as received.  For
    traffic between agents, that equals the sum over the two agents.  Traffic between
    an agent and a stand-in is counted twice too, so the figure is an upper bound.

    Parameters
    ----------
    before, after : FleetSample
        Samples at the start and at the end of the measurement.
    nodes, replicas, edits : int
        Number of agents, of endpoints, and of edits accepted in between.
    """
    seconds = after.time - before.time
    loopback_bytes = after.loopback_bytes - before.loopback_bytes
    return FleetCost(
        nodes,
        replicas,
        edits / seconds,
        (after.processor - before.processor) / seconds / nodes,
        after.memory / MEGABYTE,
        loopback_bytes / seconds / nodes,
        (after.store_calls - before.store_calls) / seconds,
        (before.waiting + after.waiting) / 2,
    )
