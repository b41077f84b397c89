"""Callers' requests without their bodies, as decisions use them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A completion requested from a model.

    Sizes are in tokens. A repeatable prompt gets the same answer on each run.
    """

    model: str
    tokens: int
    max_tokens: int
    stream: bool = False
    repeatable: bool = True
    blocks: tuple[int, ...] = ()
    # Ids of the parts that other prompts may contain too, in order.
    shared_parts: tuple[str, ...] = ()

    @property
    def memory(self) -> int:
        """Return the engine memory that the prompt occupies, in tokens."""
        return self.tokens + self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to a plain service."""

    service: str
    method: str
    path: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as decisions see it.

    Times are in seconds, the body's size is in bytes, and the key is the
    caller's idempotency key.
    """

    id: str
    workspace: str
    priority_class: str
    work: Prompt | Call
    arrived: float
    deadline: float
    key: str | None = None
    body_digest: str = ""
    body_size: int = 0

    @property
    def idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        match self.work:
            case Prompt():
                return True
            case Call(idempotent=idempotent):
                return idempotent

    @property
    def needs_claim(self) -> bool:
        """Return whether its key must be claimed before it is sent."""
        return self.key is not None and not self.idempotent

    @property
    def service(self) -> str:
        """Return the name of the requested model or service."""
        match self.work:
            case Prompt(model=model):
                return model
            case Call(service=service):
                return service

    @property
    def streamed(self) -> bool:
        """Return whether the answer is streamed to the caller."""
        match self.work:
            case Prompt(stream=stream):
                return stream
            case Call():
                return False

    @property
    def prefill(self) -> int:
        """Return the tokens to prefill before the answer starts."""
        match self.work:
            case Prompt(tokens=tokens):
                return tokens
            case Call():
                return 0

    @property
    def weight(self) -> int:
        """Return the tokens of memory that the work needs, 1 for a call."""
        match self.work:
            case Prompt():
                return self.work.memory
            case Call():
                return 1
