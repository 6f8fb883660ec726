"""Options that every scenario takes."""

import attrs


@attrs.frozen
class ScenarioOptions:
    """
    Options from the command line.

    Attributes
    ----------
    seed : int
        Seed of every random source.
    size : int
        Number of trials; 0 takes the scenario's own.
    deployment : str
        ``"monterrey"`` or ``"muscat"``.
    plot : str
        File for a plot; empty for none.
    inputs : str
        Folder of measurements made before; empty for none.
    minutes : float
        Minutes after which a soak begins no more rounds; 0 for no limit.
    """

    seed: int = 1
    size: int = 0
    deployment: str = "monterrey"
    plot: str = ""
    inputs: str = ""
    minutes: float = 0.0
