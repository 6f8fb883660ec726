"""Room for work that may start in all processes together."""

import attrs

from lentilhaven.fleet.engine_spec import EngineSpec


@attrs.frozen
class EngineUse:
    """
    The use of one engine by all processes.

    Attributes
    ----------
    card : str
        Its type of accelerator.
    layers : int
        Number of layers that it holds.
    token_layers : float
        KV memory in use, in tokens times layers.
    """

    card: str
    layers: int
    token_layers: float


def start_room(spec: EngineSpec, engines: list[EngineUse], usable: float) -> float:
    """
    Return the tokens for which the engines together have KV memory left.

    Parameters
    ----------
    spec : EngineSpec
        Specification of the engines.
    engines : list of EngineUse
        The engines that are available.
    usable : float
        Share of an engine's memory up to which it gets requests.

    Examples
    --------
    >>> from lentilhaven.fleet.engine_spec import AcceleratorType
    >>> spec = EngineSpec("m", 8, 1000.0, 800_000.0, {"a": AcceleratorType("a", 9e3)})
    >>> start_room(spec, [EngineUse("a", 8, 2000.0)], 1.0)
    1000.0
    """
    free = 0.0
    for engine in engines:
        tokens = spec.max_cached_tokens(engine.card, engine.layers)
        free += max(0.0, usable * tokens * engine.layers - engine.token_layers)
    return free / max(1, spec.layers)
