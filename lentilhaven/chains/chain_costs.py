"""Estimated times of a request on the layers and hops of a chain."""

from collections.abc import Callable

import attrs

from lentilhaven.fleet.engine_spec import EngineSpec

#: One-way network delay within a data centre, in ms; the engine specification does
#: not state it.
LOCAL_HOP_MS = 0.1

#: One-way network delay to another data centre, in ms; the engine specification does
#: not state it.
REMOTE_HOP_MS = 0.75

#: Upper limit of a pipe's utilization in the estimate; the estimated queueing time
#: grows without bound as the utilization approaches 1.
MAX_UTILIZATION = 0.9


@attrs.frozen
class ChainCosts:
    """
    Estimates the times of one request from the engine specification.

    Attributes
    ----------
    spec : EngineSpec
        Model and nominal speed of the engines.
    prompt_tokens, output_tokens : float
        Length of the prompt, and expected length of the output, in tokens.
    pipe_token_rate : callable
        Takes two data centres and returns the tokens per second that pass through
        the pipe between them.
    """

    spec: EngineSpec
    prompt_tokens: float
    output_tokens: float
    pipe_token_rate: Callable[[str, str], float] = lambda origin, target: 0.0

    def layer_ms(self, card: str, slowdown: float, batch: float) -> float:
        """
        Return the time that a request spends on one layer, in ms.

        Parameters
        ----------
        card : str
            Type of accelerator; an unknown one runs at the nominal speed.
        slowdown : float
            Time that the endpoint takes, relative to the usual time of its type of
            accelerator.
        batch : float
            Number of requests that the endpoint runs.
        """
        spec = self.spec
        kind = spec.cards.get(card)
        step_factor = kind.step_factor if kind else 1.0
        # Mean context length over the decoding steps, in thousands of tokens.
        context_k = (self.prompt_tokens + self.output_tokens / 2) / 1000.0
        per_sequence_ms = (
            spec.step_ms_per_sequence + spec.step_ms_per_1k_tokens * context_k
        )
        step_ms = (spec.step_ms + batch * per_sequence_ms) * step_factor
        decode_ms = slowdown * step_ms * self.output_tokens / max(1, spec.layers)
        return decode_ms + self.prompt_layer_ms(card, slowdown)

    def prompt_layer_ms(self, card: str, slowdown: float) -> float:
        """Return the part of `layer_ms` in which the prompt is read."""
        spec = self.spec
        kind = spec.cards.get(card)
        factor = kind.prefill_factor if kind else 1.0
        prefill_ms = self.prompt_tokens / spec.prefill_tokens_per_s * 1000.0 * factor
        return slowdown * prefill_ms / max(1, spec.layers)

    def hop_ms(self, origin: str, target: str) -> float:
        """
        Return the time that a request spends on the hop between two parts, in ms.

        All traffic between two data centres shares one pipe, which carries one
        transfer at a time, so a token may wait behind the prompts of other
        requests.  The wait is that of a single-server queue (Pollaczek-Khinchine
        formula) whose service times are exponentially distributed, with the transfer
        time of a prompt of usual length as their mean.

        Parameters
        ----------
        origin, target : str
            Data centres of the two parts.  If the specification states no transfer
            rate between them, only the network delay counts.
        """
        spec = self.spec
        # Kilobits divided by Mbit/s are milliseconds.
        kilobits = spec.activation_bytes * 8e-3
        if origin == target:
            token_ms = kilobits / spec.link_mbps if spec.link_mbps else 0.0
            return LOCAL_HOP_MS * self.output_tokens + token_ms * self.prompt_tokens
        if not spec.data_centre_link_mbps:
            return REMOTE_HOP_MS * self.output_tokens
        token_ms = kilobits / spec.data_centre_link_mbps
        utilization = min(
            MAX_UTILIZATION, self.pipe_token_rate(origin, target) * token_ms / 1000.0
        )
        mean_prompt_ms = token_ms * spec.mean_prompt_tokens
        wait = utilization / (1.0 - utilization) * mean_prompt_ms
        return (
            (REMOTE_HOP_MS + wait) * self.output_tokens
            + token_ms * self.prompt_tokens
            + wait
        )

    def mean_pause(self, cost: float) -> float:
        """
        Return the mean pause between two events of a request, in seconds.

        Parameters
        ----------
        cost : float
            Time that the request spends on its chain, in ms.
        """
        events = max(1.0, self.output_tokens / max(1, self.spec.tokens_per_step))
        return cost / 1000.0 / events

    def state_tokens(self) -> float:
        """Return the number of tokens in the KV cache when the request ends."""
        return self.prompt_tokens + self.output_tokens
