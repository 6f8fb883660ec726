"""Report of a scenario."""

import attrs

from lentilhaven.bench.figure import Figure


@attrs.frozen
class Report:
    """
    Figures of one run of a scenario.

    Attributes
    ----------
    scenario : str
        Name of the scenario.
    seed : int
        Seed of the run.
    figures : dict
        Figures by name.
    """

    scenario: str
    seed: int
    figures: dict[str, Figure]

    @property
    def holds(self) -> bool:
        """Return whether every figure meets its target."""
        return all(figure.holds for figure in self.figures.values())
