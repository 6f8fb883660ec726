"""
A model whose every layer matters.

Each layer mixes its activation with a running digest of all earlier inputs,
which plays the part of the KV cache.  A layer that is skipped, run twice, run
out of order, or run on a wrong cache changes every later token, so that a
comparison of tokens proves what the engines did.
"""

import xxhash

#: Answers end before their limit when an activation is a multiple of this.
STOP_MODULUS = 997

#: Size of the vocabulary.
VOCABULARY = 9973


def digest(*values: object) -> int:
    """
    Return a 64-bit hash of some values.

    Examples
    --------
    >>> digest(1, "a") == digest(1, "a")
    True
    >>> digest(1, "a") == digest("a", 1)
    False
    """
    return xxhash.xxh3_64_intdigest(repr(values).encode())


def embed(version: str, token: str) -> int:
    """
    Return the activation that enters layer 0.

    Parameters
    ----------
    version : str
        Model version.
    token : str
        A token of the prompt or of the answer.
    """
    return digest("embed", version, token)


def run_layer(layer: int, cache: int, activation: int) -> tuple[int, int]:
    """
    Run one layer for one position.

    Parameters
    ----------
    layer : int
        Number of the layer.
    cache : int
        The layer's cache before this position.
    activation : int
        What the layer below put out.

    Returns
    -------
    tuple of int
        The cache after this position, and the activation put out.
    """
    cache = digest(layer, cache, activation)
    return cache, digest("out", layer, cache, activation)


def unembed(activation: int) -> str:
    """Return the token that the last layer's activation stands for."""
    return f"w{activation % VOCABULARY} "


def is_stop(activation: int) -> bool:
    """Return whether the model ends its answer with this token."""
    return activation % STOP_MODULUS == 0


def naive_answer(
    version: str, layer_count: int, prompt: list[str], max_tokens: int
) -> list[str]:
    """
    Generate a whole answer in order, in one place.

    Parameters
    ----------
    version : str
        Model version.
    layer_count : int
        Number of layers.
    prompt : list of str
        Tokens of the prompt; at least one.
    max_tokens : int
        Longest answer.

    Examples
    --------
    >>> naive_answer("v1", 4, ["hello "], 2) == naive_answer("v1", 4, ["hello "], 2)
    True
    >>> naive_answer("v1", 4, ["hello "], 2) == naive_answer("v2", 4, ["hello "], 2)
    False
    """
    caches = [0] * layer_count
    answer: list[str] = []
    for token in prompt[:-1]:
        step_model(version, caches, token)
    token = prompt[-1]
    while len(answer) < max_tokens:
        activation = step_model(version, caches, token)
        token = unembed(activation)
        answer.append(token)
        if is_stop(activation):
            break
    return answer


def step_model(version: str, caches: list[int], token: str) -> int:
    """
    Run every layer for one token and update the caches in place.

    Parameters
    ----------
    version : str
        Model version.
    caches : list of int
        One cache a layer.
    token : str
        The token at this position.
    """
    activation = embed(version, token)
    for layer, cache in enumerate(caches):
        caches[layer], activation = run_layer(layer, cache, activation)
    return activation
