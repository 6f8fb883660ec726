"""The file that tells a gateway of a soak from which hosts it is cut off."""

import json

from lentilhaven.standins.platform.cut_links import Cut

#: Environment variable with the path of the file.
CUT_FILE_VARIABLE = "LENTILHAVEN_SOAK_CUT"


def encode_cut(cut: Cut | None, hosts: list[str]) -> str:
    """
    Return the content of the file for a cut; None for no cut.

    Examples
    --------
    >>> decode_cut(encode_cut(Cut.HANG, ["10.0.0.1"]))
    (<Cut.HANG: 'hang'>, {'10.0.0.1'})
    >>> decode_cut(encode_cut(None, []))
    (None, set())
    """
    return json.dumps({"cut": cut.value if cut else None, "hosts": hosts})


def decode_cut(text: str) -> tuple[Cut | None, set[str]]:
    """Return the cut that the file states, and its hosts."""
    value = json.loads(text)
    return (Cut(value["cut"]) if value["cut"] else None), set(value["hosts"])
