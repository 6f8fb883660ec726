"""Validators of attrs fields whose errors name the rejected value."""

from collections.abc import Callable
from typing import Any


def within(low: float, high: float) -> Callable[[Any, Any, Any], None]:
    """
    Return a validator of numbers from `low` to `high`, both inclusive.

    Parameters
    ----------
    low, high : float
        The bounds.

    Examples
    --------
    >>> import attrs
    >>> @attrs.frozen
    ... class Listener:
    ...     port: int = attrs.field(validator=within(0, 65535))
    >>> Listener(70000)
    Traceback (most recent call last):
        ...
    ValueError: must be from 0 to 65535, not 70000
    """

    def validate(_: object, __: object, value: float) -> None:
        # This form of the condition also rejects NaN, since every comparison with it is
        # false.  `value` is not converted, since an integer may be too large for a
        # float.
        if not low <= value <= high:
            raise ValueError(f"must be from {low:g} to {high:g}, not {value!r}")

    # The settings reference page shows the bounds.
    validate.bounds = (low, high)  # type: ignore[attr-defined]
    return validate


def one_of(*allowed: str) -> Callable[[Any, Any, Any], None]:
    """
    Return a validator of strings that must be among `allowed`.

    Examples
    --------
    >>> one_of("a", "b")(None, None, "c")
    Traceback (most recent call last):
        ...
    ValueError: must be one of a, b, not 'c'
    """

    def validate(_: object, __: object, value: str) -> None:
        if value not in allowed:
            raise ValueError(f"must be one of {', '.join(allowed)}, not {value!r}")

    # The settings reference page shows the allowed values.
    validate.allowed = allowed  # type: ignore[attr-defined]
    return validate


def not_empty(_: object, __: object, value: Any) -> None:
    """
    Reject a string that is empty or only whitespace.

    Examples
    --------
    >>> not_empty(None, None, " ")
    Traceback (most recent call last):
        ...
    ValueError: must not be empty
    """
    if not value.strip():
        raise ValueError("must not be empty")


def http_url(_: object, __: object, value: Any) -> None:
    """
    Reject anything but an ``http`` or ``https`` URL with a host.

    Examples
    --------
    >>> http_url(None, None, "10.0.0.7:80")
    Traceback (most recent call last):
        ...
    ValueError: must be an http or https URL, not '10.0.0.7:80'
    """
    scheme, separator, rest = value.partition("://")
    host = rest.partition("/")[0]
    if scheme not in ("http", "https") or not separator or not host.strip(":"):
        raise ValueError(f"must be an http or https URL, not {value!r}")


def each(validate: Callable[[Any, Any, Any], None]) -> Callable[[Any, Any, Any], None]:
    """
    Return a validator of lists that applies another validator to each item.

    Parameters
    ----------
    validate : callable
        Validator of one item.

    Examples
    --------
    >>> each(http_url)(None, None, ["http://a", "b"])
    Traceback (most recent call last):
        ...
    ValueError: item 1 must be an http or https URL, not 'b'
    """

    def validate_items(instance: Any, field: Any, value: Any) -> None:
        for index, item in enumerate(value):
            try:
                validate(instance, field, item)
            except ValueError as error:
                raise ValueError(f"item {index} {error}") from error

    return validate_items
