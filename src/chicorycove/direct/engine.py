"""Models how long the passes of an engine take to prefill and decode."""

import dataclasses
import math
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class EngineProfile:
    """Published figures of an engine; times are in seconds.

    An engine works in passes.  A pass that decodes takes ``steps_per_pass``
    token steps, and each step may prefill up to ``chunk_tokens`` tokens of
    waiting prompts.
    """

    slots: int  # number of requests that run at the same time
    memory: int  # tokens
    step_time: float  # time of a step without sequences
    time_per_sequence: float  # time that each sequence adds to a step
    # Time that each token of context adds to a step.
    time_per_context_token: float
    prefill_rate: float  # tokens per second
    # Time that each pair of a token and an earlier one adds to a prefill.
    time_per_token_pair: float
    chunk_tokens: int  # most tokens that a step prefills
    steps_per_pass: int
    group_step_delay: float = 0.0  # time that a group adds to each step
    # Time from the end of the prefill to the first token.
    first_token_delay: float = 0.00025

    def prefill_time(self, tokens: int) -> float:
        """Return the time to prefill a prompt that runs alone."""
        return (
            tokens / self.prefill_rate + self.time_per_token_pair * tokens * tokens / 2
        )

    @property
    def max_pass_prefill_time(self) -> float:
        """Return the most prefill time in a pass, without token pairs."""
        return self.chunk_tokens * self.steps_per_pass / self.prefill_rate

    def decode_pass_time(self, contexts: t.Iterable[float]) -> float:
        """Return the time of a pass that only decodes; contexts in tokens."""
        batch_size = 0
        context_tokens = 0.0
        for context in contexts:
            batch_size += 1
            context_tokens += context
        if not batch_size:
            return 0.0
        return self.batch_pass_time(batch_size, context_tokens)

    def batch_pass_time(self, batch_size: int, context_tokens: float) -> float:
        """Return the time of a pass that decodes a batch of sequences."""
        step = (
            self.step_time
            + self.time_per_sequence * batch_size
            + self.time_per_context_token * context_tokens
        )
        return self.steps_per_pass * step

    def prefill_passes(self, tokens: int) -> int:
        """Return the number of decoding passes that prefill a prompt."""
        return max(1, math.ceil(tokens / (self.chunk_tokens * self.steps_per_pass)))

    def max_pass_share(self, tokens: int) -> float:
        """Return the largest share of a prompt that one pass prefills."""
        return min(1.0, self.chunk_tokens * self.steps_per_pass / max(tokens, 1))

    def event_count(self, tokens: int) -> int:
        """Return the number of events that an answer's tokens are sent in."""
        return max(1, math.ceil(tokens / self.steps_per_pass))
