"""Options common to all scenarios."""

import attrs


@attrs.frozen
class ScenarioOptions:
    """
    Options of a scenario, from the command line.

    Attributes
    ----------
    seed : int
        Seed of all random number generators.
    size : int
        Size of the run, in a unit that depends on the scenario, such as trials or
        seconds; 0 selects the scenario's default.
    deployment : str
        Name of the deployment: ``"monterrey"`` or ``"muscat"``.
    plot : str
        File to which a plot is written; empty for none.
    inputs : str
        Folder with earlier measurements; empty for none.
    minutes : float
        Minutes after which a soak begins no new round; 0 for no limit.
    older : str
        Commit of this repository whose gateways an upgrade replaces; empty for the
        scenario's default.
    """

    seed: int = 1
    size: int = 0
    deployment: str = "monterrey"
    plot: str = ""
    inputs: str = ""
    minutes: float = 0.0
    older: str = ""
