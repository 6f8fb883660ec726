"""The code that a gateway's process runs."""

from pathlib import Path

import attrs

import lentilhaven

#: Folder that contains the package from which this process was started.
PRESENT_FOLDER = Path(lentilhaven.__file__).resolve().parents[1]


@attrs.frozen
class GatewayProgram:
    """
    A module of a version of this package that runs a gateway.

    Attributes
    ----------
    name : str
        Name of the version.
    module : str
        Module to run.
    folder : Path
        Folder that contains the package, in which the process starts.
    """

    name: str
    module: str
    folder: Path


#: The present code, with links that the soak can cut.
LINKED_GATEWAY = GatewayProgram(
    "present", "lentilhaven.bench.soak.linked_gateway", PRESENT_FOLDER
)
