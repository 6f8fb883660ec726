"""What a scenario reports."""

import attrs

from lentilhaven.bench.figure import Figure


@attrs.frozen
class Report:
    """
    The figures of one run.

    Attributes
    ----------
    scenario : str
        Name of the scenario.
    seed : int
        Seed of the run.
    figures : dict
        `Figure` by name.
    """

    scenario: str
    seed: int
    figures: dict[str, Figure]

    @property
    def holds(self) -> bool:
        """Return whether every figure meets its target."""
        return all(figure.holds for figure in self.figures.values())
