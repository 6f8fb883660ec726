"""Addresses of other processes, as text."""

import re

#: The four numbers of an IP address, and a port.
ADDRESS = re.compile(
    r"([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3}):([0-9]{1,5})"
)

#: Largest port, and largest number in an IP address.
MAX_PORT, MAX_OCTET = 65_535, 255


def is_address(text: str) -> bool:
    """
    Return whether a text has the form ``IP:PORT``, and can be connected to.

    Examples
    --------
    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1"), is_address("x:y")
    (True, False, False)
    >>> is_address("10.0.0.1:99999"), is_address("10.0.0.300:80")
    (False, False)
    """
    match = ADDRESS.fullmatch(text)
    if match is None:
        return False
    *numbers, port = map(int, match.groups())
    return port <= MAX_PORT and max(numbers) <= MAX_OCTET
