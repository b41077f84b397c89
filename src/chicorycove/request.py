"""A caller's request, without its body."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A completion that a model is asked for; sizes are in tokens."""

    model: str
    tokens: int
    max_tokens: int
    stream: bool = False
    repeatable: bool = True
    blocks: tuple[int, ...] = ()

    @property
    def memory(self) -> int:
        """Return the engine memory that the prompt needs, in tokens."""
        return self.tokens + self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call of a plain service."""

    service: str
    method: str
    path: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What the decisions need to know of a request; times are in seconds."""

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
        """Tell whether the request may run more than once."""
        match self.work:
            case Prompt():
                return True
            case Call(idempotent=idempotent):
                return idempotent

    @property
    def needs_claim(self) -> bool:
        """Tell whether a claim of its key is needed before it is sent."""
        return self.key is not None and not self.idempotent

    @property
    def service(self) -> str:
        """Return the name of the model or service that is to answer."""
        match self.work:
            case Prompt(model=model):
                return model
            case Call(service=service):
                return service

    @property
    def streamed(self) -> bool:
        """Tell whether the caller gets the answer piece by piece."""
        match self.work:
            case Prompt(stream=stream):
                return stream
            case Call():
                return False

    @property
    def prefill(self) -> int:
        """Return the tokens to compute before the answer begins."""
        match self.work:
            case Prompt(tokens=tokens):
                return tokens
            case Call():
                return 0

    @property
    def weight(self) -> int:
        """Return the work that the request makes, in tokens."""
        match self.work:
            case Prompt():
                return self.work.memory
            case Call():
                return 1
