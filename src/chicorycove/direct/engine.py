"""A model of the passes in which an engine reads prompts and writes tokens."""

import dataclasses
import math
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@frozen
class EngineProfile:
    """An engine's published figures; times are in seconds.

    An engine works in passes.  A pass with writers takes ``stride`` token
    steps, and each step may read up to ``chunk`` tokens of waiting prompts.
    """

    slots: int
    memory: int  # tokens
    step: float
    per_writer: float  # of each step
    per_context_token: float  # of each step, for each token of context
    read_rate: float  # tokens a second
    per_pair: float  # for each pair of a token and an earlier one
    chunk: int  # tokens
    stride: int  # steps
    hop: float = 0.0  # of each step of a group
    first: float = 0.00025  # from the end of reading to the first token

    def read_time(self, tokens: int) -> float:
        """Return the time to read a prompt alone, whole."""
        return tokens / self.read_rate + self.per_pair * tokens * tokens / 2

    def write_time(self, contexts: t.Iterable[float]) -> float:
        """Return the time of a pass that only writes; contexts in tokens."""
        writers = 0
        total = 0.0
        for context in contexts:
            writers += 1
            total += context
        if not writers:
            return 0.0
        return self.writers_time(writers, total)

    def writers_time(self, writers: int, context: float) -> float:
        """Return the time of a pass of writers with a total of context."""
        step = self.step + self.per_writer * writers + self.per_context_token * context
        return self.stride * step

    def passes(self, tokens: int) -> int:
        """Return in how many passes beside writers a prompt is read."""
        return max(1, math.ceil(tokens / (self.chunk * self.stride)))

    def pass_share(self, tokens: int) -> float:
        """Return the share of a prompt that its longest pass reads."""
        return min(1.0, self.chunk * self.stride / max(tokens, 1))

    def events(self, tokens: int) -> int:
        """Return in how many events an answer of tokens is sent."""
        return max(1, math.ceil(tokens / self.stride))
