"""The scenario ``control-cost``: what control costs a VM, carried to full size."""

import json
from pathlib import Path

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.fleet_sample import FleetCost
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.converter import CONVERTER

#: Full size: VMs, endpoints and edits a second in all, and data centres.
FULL_NODES, FULL_REPLICAS = 1_100, 3_700
FULL_EDITS = 4_800 / 86_400
FULL_PLACES = 10

#: Data centres of the measured fleets.
PLACES = 3

#: Bounds for each VM: share of a core, megabytes, bytes a second.
PROCESSOR_BOUND, MEMORY_BOUND, BYTES_BOUND = 0.034, 128.0, 15_000.0

#: Measured fleets that a judgement needs.
FLEETS_NEEDED = 7


def run_control_cost(options: ScenarioOptions) -> Report:
    """
    Judge the fleets that ``scripts/control-cost`` has measured.

    Parameters
    ----------
    options : ScenarioOptions
        ``inputs`` names the script's folder.
    """
    costs = read_costs(Path(options.inputs)) if options.inputs else []
    figures: dict[str, Figure] = {
        "fleets": at_least(len(costs), FLEETS_NEEDED, "fleets")
    }
    for cost in costs:
        figures |= show_cost(cost)
    if allows_slopes(costs):
        figures |= judge(costs)
    return Report("control-cost", options.seed, figures)


def read_costs(folder: Path) -> list[FleetCost]:
    """Read all measurements in a folder, in order of size."""
    costs = [
        CONVERTER.structure(json.loads(path.read_text(encoding="utf-8")), FleetCost)
        for path in sorted(folder.glob("fleet-*.json"))
    ]
    return sorted(costs, key=lambda it: (it.nodes, it.replicas, it.edits_per_second))


def allows_slopes(costs: list[FleetCost]) -> bool:
    """Return whether the measurements differ in every respect that has a slope."""
    idle = idle_costs(costs)
    busy = [it for it in costs if it.edits_per_second]
    more = [it for it in costs if it not in idle and not it.edits_per_second]
    return len(idle) >= 2 and bool(busy) and bool(more)


def show_cost(cost: FleetCost) -> dict[str, Figure]:
    """Return the figures of one fleet."""
    kind = "busy" if cost.edits_per_second else "idle"
    name = f"{cost.nodes}_nodes_{cost.replicas}_replicas_{kind}"
    return {
        f"{name}_processor": observed(cost.processor, "core"),
        f"{name}_memory": observed(cost.memory, "MB"),
        f"{name}_bytes": observed(cost.bytes_per_second, "B/s"),
        f"{name}_store_calls": observed(cost.store_calls, "calls/s"),
        f"{name}_store_waiting": observed(cost.waiting, "calls"),
    }


def judge(costs: list[FleetCost]) -> dict[str, Figure]:
    """Carry the measurements to full size and compare them with the bounds."""
    figures = {}
    bounds = {
        "processor": (PROCESSOR_BOUND, "core"),
        "memory": (MEMORY_BOUND, "MB"),
        "bytes_per_second": (BYTES_BOUND, "B/s"),
    }
    for field, (bound, unit) in bounds.items():
        slopes = find_slopes(costs, field)
        for name, slope in slopes.items():
            figures[f"{field}_per_{name}"] = observed(slope, unit)
        figures[f"full_{field}"] = at_most(carry(costs, field, slopes), bound, unit)
    idle = idle_costs(costs)
    smallest, largest = idle[0], idle[-1]
    grown = largest.store_calls + largest.waiting
    grown -= smallest.store_calls + smallest.waiting
    # A tenth of a call per added node would be growth with the fleet.
    allowed = 0.1 * (largest.nodes - smallest.nodes)
    figures["store_calls_grown"] = at_most(grown, allowed, "calls/s")
    return figures


def idle_costs(costs: list[FleetCost]) -> list[FleetCost]:
    """Return the idle fleets whose replicas grow with their nodes."""
    fixed = {
        nodes: min(it.replicas for it in costs if it.nodes == nodes)
        for nodes in {it.nodes for it in costs}
    }
    return [
        it for it in costs if not it.edits_per_second and it.replicas == fixed[it.nodes]
    ]


def find_slopes(costs: list[FleetCost], field: str) -> dict[str, float]:
    """
    Return the slopes of one field.

    Parameters
    ----------
    costs : list of FleetCost
        The measurements.
    field : str
        Name of a field of `FleetCost`.

    Returns
    -------
    dict
        Per node of a data centre, with its share of replicas; per further
        replica of a data centre; per edit a second.
    """
    idle = idle_costs(costs)
    near = [it.nodes / PLACES for it in idle]
    values = [getattr(it, field) for it in idle]
    more = next(it for it in costs if it not in idle and not it.edits_per_second)
    same = next(it for it in idle if it.nodes == more.nodes)
    added = (more.replicas - same.replicas) / PLACES
    busy = [it for it in costs if it.edits_per_second]
    pairs = [(it, one) for it in busy for one in idle if one.nodes == it.nodes]
    edits = [
        (getattr(it, field) - getattr(one, field)) / it.edits_per_second
        for it, one in pairs
    ]
    return {
        "near_node": fit_slope(near, values),
        "near_replica": (getattr(more, field) - getattr(same, field)) / added,
        "edit": max(edits),
    }


def fit_slope(places: list[float], values: list[float]) -> float:
    """
    Return the slope of the least-squares line.

    Examples
    --------
    >>> fit_slope([1.0, 2.0, 3.0], [1.0, 3.0, 5.0])
    2.0
    """
    middle = sum(places) / len(places)
    mean = sum(values) / len(values)
    spread = sum((it - middle) ** 2 for it in places)
    pairs = zip(places, values, strict=True)
    return sum((it - middle) * (value - mean) for it, value in pairs) / spread


def carry(costs: list[FleetCost], field: str, slopes: dict[str, float]) -> float:
    """Return the value of a field at full size, from the largest idle fleet."""
    largest = idle_costs(costs)[-1]
    nodes = FULL_NODES / FULL_PLACES - largest.nodes / PLACES
    ratio = largest.replicas / largest.nodes
    further = FULL_REPLICAS / FULL_PLACES - ratio * FULL_NODES / FULL_PLACES
    edits = FULL_EDITS * (0.0 if field == "memory" else 1.0)
    value = getattr(largest, field) + max(0.0, slopes["near_node"]) * nodes
    value += slopes["near_replica"] * further + slopes["edit"] * edits
    return value if field != "memory" else max(value, max_memory(costs))


def max_memory(costs: list[FleetCost]) -> float:
    """Return the largest memory of any agent, busy ones included."""
    return max(it.memory for it in costs)
