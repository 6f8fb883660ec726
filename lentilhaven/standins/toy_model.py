"""
A deterministic model whose tokens depend on every layer.

Each layer hashes its input activation with a running digest of all earlier inputs,
which stands in for the KV cache.  A layer that is skipped, run twice, run out of
order or run on a wrong cache changes every later token.  Tokens that equal those of
`reference_answer` therefore prove that the engines ran the right layers.
"""

import xxhash

#: An answer ends before its token limit at an activation that is a multiple of this.
STOP_MODULUS = 997

#: Size of the vocabulary, in tokens.
VOCABULARY = 9973


def digest(*values: object) -> int:
    """
    Return a 64-bit hash of the given values.

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
    Return the input activation of layer 0 for a token.

    Parameters
    ----------
    version : str
        Model version.
    token : str
        Token of the prompt or of the answer.
    """
    return digest("embed", version, token)


def run_layer(layer: int, cache: int, activation: int) -> tuple[int, int]:
    """
    Run one layer for one position.

    Parameters
    ----------
    layer : int
        Index of the layer.
    cache : int
        Cache of the layer before this position; 0 before the first one.
    activation : int
        Output activation of the previous layer, or of `embed` for layer 0.

    Returns
    -------
    tuple of int
        The cache after this position, and the output activation.
    """
    cache = digest(layer, cache, activation)
    return cache, digest("out", layer, cache, activation)


def unembed(activation: int) -> str:
    """Return the token for an output activation of the last layer."""
    return f"w{activation % VOCABULARY} "


def is_stop(activation: int) -> bool:
    """Return whether the answer ends with the token of this activation."""
    return activation % STOP_MODULUS == 0


def reference_answer(
    version: str, layer_count: int, prompt: list[str], max_tokens: int
) -> list[str]:
    """
    Return the tokens of a whole answer, generated sequentially and without engines.

    Parameters
    ----------
    version : str
        Model version.
    layer_count : int
        Number of layers.
    prompt : list of str
        Tokens of the prompt; must not be empty.
    max_tokens : int
        Maximum length of the answer, in tokens.

    Examples
    --------
    >>> first = reference_answer("v1", 4, ["hello "], 2)
    >>> first == reference_answer("v1", 4, ["hello "], 2)
    True
    >>> first == reference_answer("v2", 4, ["hello "], 2)
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
    Run every layer for one token and return the output activation of the last.

    Updates `caches` in place.

    Parameters
    ----------
    version : str
        Model version.
    caches : list of int
        Cache of each layer.
    token : str
        Input token at this position.
    """
    activation = embed(version, token)
    for layer, cache in enumerate(caches):
        caches[layer], activation = run_layer(layer, cache, activation)
    return activation
