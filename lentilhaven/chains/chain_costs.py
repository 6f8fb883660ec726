"""Estimates of the time that a request spends on the parts of a chain."""

from collections.abc import Callable

import attrs

from lentilhaven.fleet.engine_spec import EngineSpec

#: One-way time within a data centre, in ms; what the engines' list of delays
#: leaves out.
LOCAL_HOP_MS = 0.1

#: One-way time to another data centre that the list leaves out, in ms.
REMOTE_HOP_MS = 0.75

#: Largest share of a pipe's time that is reckoned with: beyond it the estimated
#: wait grows without bound.
MOST_BUSY = 0.9


@attrs.frozen
class ChainCosts:
    """
    Times of one request, from what the engines publish.

    Attributes
    ----------
    spec : EngineSpec
        The engines.
    prompt, answer : float
        Tokens to read, and tokens to write.
    pipe_tokens : callable
        Takes two data centres and returns the tokens per second that go through
        the pipe between them.
    """

    spec: EngineSpec
    prompt: float
    answer: float
    pipe_tokens: Callable[[str, str], float] = lambda one, other: 0.0

    def layer_ms(self, card: str, slowdown: float, batch: float) -> float:
        """
        Return the time of a request on one layer, in ms.

        Parameters
        ----------
        card : str
            Kind of accelerator.
        slowdown : float
            How many times as long as its kind the endpoint takes.
        batch : float
            Requests that it runs.
        """
        spec = self.spec
        kind = spec.cards.get(card)
        step, prefill = (kind.step_factor, kind.prefill_factor) if kind else (1.0, 1.0)
        context = (self.prompt + self.answer / 2) / 1000.0
        per_sequence = spec.step_ms_per_sequence + spec.step_ms_per_k * context
        token = (spec.step_ms + batch * per_sequence) * step
        reading = self.prompt / spec.prefill_tokens_per_s * 1000.0 * prefill
        return slowdown * (token * self.answer + reading) / max(1, spec.layers)

    def hop_ms(self, origin: str, target: str) -> float:
        """
        Return the time of a request between two parts, in ms.

        Everything between two data centres goes through one pipe, one transfer
        after another: each token may wait behind other requests' prompts, as in
        a queue with one server (Pollaczek and Khinchine).
        """
        spec = self.spec
        kilobits = spec.activation_bytes * 8e-3
        if origin == target:
            transfer = kilobits / spec.link_mbps if spec.link_mbps else 0.0
            return LOCAL_HOP_MS * self.answer + transfer * self.prompt
        if not spec.pipe_mbps:
            return REMOTE_HOP_MS * self.answer
        token_ms = kilobits / spec.pipe_mbps
        busy = min(MOST_BUSY, self.pipe_tokens(origin, target) * token_ms / 1000.0)
        usual = token_ms * spec.usual_prompt
        wait = busy / (1.0 - busy) * usual
        return (REMOTE_HOP_MS + wait) * self.answer + token_ms * self.prompt + wait

    def state_tokens(self) -> float:
        """Return the tokens whose state the request holds at its end."""
        return self.prompt + self.answer
