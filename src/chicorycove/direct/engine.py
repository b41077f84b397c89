"""A model of the passes in which an engine reads prompts and writes tokens."""

import dataclasses
import math
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class EngineProfile:
    """An engine's published figures; times are in seconds.

    An engine works in passes.  A pass that decodes takes ``steps_per_pass``
    token steps, and each step may prefill up to ``chunk_tokens`` tokens of
    waiting prompts.
    """

    slots: int
    memory: int  # tokens
    step_time: float
    time_per_sequence: float  # of each step
    time_per_context_token: float  # of each step, for each token of context
    prefill_rate: float  # tokens a second
    time_per_token_pair: float  # for each pair of a token and an earlier one
    chunk_tokens: int  # tokens
    steps_per_pass: int  # steps
    group_step_delay: float = 0.0  # of each step of a group
    first_token_delay: float = 0.00025  # from the end of reading to the first token

    def prefill_time(self, tokens: int) -> float:
        """Return the time to read a prompt alone, whole."""
        return (
            tokens / self.prefill_rate + self.time_per_token_pair * tokens * tokens / 2
        )

    def decode_pass_time(self, contexts: t.Iterable[float]) -> float:
        """Return the time of a pass that only writes; contexts in tokens."""
        batch_size = 0
        context_tokens = 0.0
        for context in contexts:
            batch_size += 1
            context_tokens += context
        if not batch_size:
            return 0.0
        return self.batch_pass_time(batch_size, context_tokens)

    def batch_pass_time(self, batch_size: int, context_tokens: float) -> float:
        """Return the time of a pass of writers with a total of context."""
        step = (
            self.step_time
            + self.time_per_sequence * batch_size
            + self.time_per_context_token * context_tokens
        )
        return self.steps_per_pass * step

    def prefill_passes(self, tokens: int) -> int:
        """Return in how many passes beside writers a prompt is read."""
        return max(1, math.ceil(tokens / (self.chunk_tokens * self.steps_per_pass)))

    def max_pass_share(self, tokens: int) -> float:
        """Return the share of a prompt that its longest pass reads."""
        return min(1.0, self.chunk_tokens * self.steps_per_pass / max(tokens, 1))

    def event_count(self, tokens: int) -> int:
        """Return in how many events an answer of tokens is sent."""
        return max(1, math.ceil(tokens / self.steps_per_pass))
