"""The scenario ``control-cost``: cost of the agents per VM, scaled to full size."""

import json
from pathlib import Path

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.fleet_sample import FleetCost
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.converter import CONVERTER

#: Full size: number of VMs (nodes) and of endpoints (replicas), edits per second of
#: the whole fleet, and number of data centres.
FULL_NODES, FULL_REPLICAS = 1_100, 3_700
FULL_EDITS = 4_800 / 86_400
FULL_DATA_CENTRES = 10

#: Number of data centres of the measured fleets.
MEASURED_DATA_CENTRES = 3

#: Upper bounds for each VM: share of a core, megabytes, bytes per second.
PROCESSOR_BOUND, MEMORY_BOUND, BYTES_BOUND = 0.034, 128.0, 15_000.0

#: Minimum number of measured fleets.
MIN_FLEETS = 7


def run_control_cost(options: ScenarioOptions) -> Report:
    """
    Evaluate the measurements of ``scripts/control-cost``.

    Parameters
    ----------
    options : ScenarioOptions
        ``inputs`` is the output folder of the script.
    """
    costs = read_costs(Path(options.inputs)) if options.inputs else []
    figures: dict[str, Figure] = {"fleets": at_least(len(costs), MIN_FLEETS, "fleets")}
    for cost in costs:
        figures |= fleet_figures(cost)
    if can_estimate_slopes(costs):
        figures |= extrapolate_costs(costs)
    return Report("control-cost", options.seed, figures)


def read_costs(folder: Path) -> list[FleetCost]:
    """Read all measurements in a folder, sorted by fleet size."""
    costs = [
        CONVERTER.structure(json.loads(path.read_text(encoding="utf-8")), FleetCost)
        for path in sorted(folder.glob("fleet-*.json"))
    ]
    return sorted(costs, key=lambda it: (it.nodes, it.replicas, it.edits_per_second))


def can_estimate_slopes(costs: list[FleetCost]) -> bool:
    """
    Return whether the measurements suffice to estimate every slope.

    This takes two fleets of `idle_costs`, one fleet with edits, and one idle fleet
    with additional replicas.
    """
    idle = idle_costs(costs)
    busy = [it for it in costs if it.edits_per_second]
    denser = [it for it in costs if it not in idle and not it.edits_per_second]
    return len(idle) >= 2 and bool(busy) and bool(denser)


def fleet_figures(cost: FleetCost) -> dict[str, Figure]:
    """Return the measured figures of one fleet."""
    kind = "busy" if cost.edits_per_second else "idle"
    name = f"{cost.nodes}_nodes_{cost.replicas}_replicas_{kind}"
    return {
        f"{name}_processor": observed(cost.processor, "core"),
        f"{name}_memory": observed(cost.memory, "MB"),
        f"{name}_bytes": observed(cost.bytes_per_second, "B/s"),
        f"{name}_store_calls": observed(cost.store_calls, "calls/s"),
        f"{name}_store_waiting": observed(cost.waiting, "calls"),
    }


def extrapolate_costs(costs: list[FleetCost]) -> dict[str, Figure]:
    """Extrapolate the measurements to full size and compare them with the bounds."""
    figures = {}
    bounds = {
        "processor": (PROCESSOR_BOUND, "core"),
        "memory": (MEMORY_BOUND, "MB"),
        "bytes_per_second": (BYTES_BOUND, "B/s"),
    }
    for field, (bound, unit) in bounds.items():
        slopes = estimate_slopes(costs, field)
        for name, slope in slopes.items():
            figures[f"{field}_per_{name}"] = observed(slope, unit)
        figures[f"full_{field}"] = at_most(
            extrapolate(costs, field, slopes), bound, unit
        )
    idle = idle_costs(costs)
    smallest, largest = idle[0], idle[-1]
    growth = largest.store_calls + largest.waiting
    growth -= smallest.store_calls + smallest.waiting
    # More than a tenth of a call per added node means growth with the fleet.
    allowed_growth = 0.1 * (largest.nodes - smallest.nodes)
    figures["store_calls_grown"] = at_most(growth, allowed_growth, "calls/s")
    return figures


def idle_costs(costs: list[FleetCost]) -> list[FleetCost]:
    """
    Return the idle fleets with the fewest replicas for their number of nodes.

    In these fleets, the number of replicas grows with the number of nodes.
    """
    fixed = {
        nodes: min(it.replicas for it in costs if it.nodes == nodes)
        for nodes in {it.nodes for it in costs}
    }
    return [
        it for it in costs if not it.edits_per_second and it.replicas == fixed[it.nodes]
    ]


def estimate_slopes(costs: list[FleetCost], field: str) -> dict[str, float]:
    """
    Estimate the slopes of one field.

    Parameters
    ----------
    costs : list of FleetCost
        The measurements.
    field : str
        Name of a field of `FleetCost`.

    Returns
    -------
    dict
        Increase of the field per node of a data centre, including the replicas that
        are added with a node (``near_node``); per additional replica of a data
        centre (``near_replica``); and per edit per second (``edit``), of which the
        largest measured value is returned.
    """
    idle = idle_costs(costs)
    nodes_per_data_centre = [it.nodes / MEASURED_DATA_CENTRES for it in idle]
    values = [getattr(it, field) for it in idle]
    denser = next(it for it in costs if it not in idle and not it.edits_per_second)
    baseline = next(it for it in idle if it.nodes == denser.nodes)
    added_replicas = (denser.replicas - baseline.replicas) / MEASURED_DATA_CENTRES
    busy = [it for it in costs if it.edits_per_second]
    pairs = [(it, base) for it in busy for base in idle if base.nodes == it.nodes]
    edits = [
        (getattr(it, field) - getattr(base, field)) / it.edits_per_second
        for it, base in pairs
    ]
    return {
        "near_node": fit_slope(nodes_per_data_centre, values),
        "near_replica": (getattr(denser, field) - getattr(baseline, field))
        / added_replicas,
        "edit": max(edits),
    }


def fit_slope(x_values: list[float], y_values: list[float]) -> float:
    """
    Return the slope of the least-squares line.

    Examples
    --------
    >>> fit_slope([1.0, 2.0, 3.0], [1.0, 3.0, 5.0])
    2.0
    """
    mean_x = sum(x_values) / len(x_values)
    mean_y = sum(y_values) / len(y_values)
    squares = sum((it - mean_x) ** 2 for it in x_values)
    pairs = zip(x_values, y_values, strict=True)
    return sum((it - mean_x) * (value - mean_y) for it, value in pairs) / squares


def extrapolate(costs: list[FleetCost], field: str, slopes: dict[str, float]) -> float:
    """
    Extrapolate a field from the largest idle fleet to full size.

    For memory, edits are left out, and the result is at least the largest memory
    measured.
    """
    largest = idle_costs(costs)[-1]
    nodes = FULL_NODES / FULL_DATA_CENTRES - largest.nodes / MEASURED_DATA_CENTRES
    ratio = largest.replicas / largest.nodes
    further_replicas = (
        FULL_REPLICAS / FULL_DATA_CENTRES - ratio * FULL_NODES / FULL_DATA_CENTRES
    )
    edits = FULL_EDITS * (0.0 if field == "memory" else 1.0)
    value = getattr(largest, field) + max(0.0, slopes["near_node"]) * nodes
    value += slopes["near_replica"] * further_replicas + slopes["edit"] * edits
    return value if field != "memory" else max(value, max_memory(costs))


def max_memory(costs: list[FleetCost]) -> float:
    """Return the largest memory of any agent, idle or with edits, in megabytes."""
    return max(it.memory for it in costs)
