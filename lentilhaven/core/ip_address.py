"""Addresses of other processes, as text."""

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
    host, _, port = text.rpartition(":")
    numbers = host.split(".")
    return len(numbers) == 4 and all(
        is_number_up_to(number, limit)
        for number, limit in [(port, MAX_PORT), *((it, MAX_OCTET) for it in numbers)]
    )


def is_number_up_to(text: str, limit: int) -> bool:
    """Return whether a text is a decimal number of at most a limit."""
    return text.isascii() and text.isdigit() and len(text) < 6 and int(text) <= limit
