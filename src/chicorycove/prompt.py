"""Reads the bodies of completions, OpenAI's form."""

import dataclasses
import math
import typing as t

import msgspec

from .catalogue import Catalogue
from .request import Prompt

DEFAULT_MAX_TOKENS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One message of a chat."""

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """The parts of a completion's body that decisions need."""

    model: str
    prompt: str | list[str] | None = None
    messages: list[Message] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    temperature: float | None = None
    seed: int | None = None

    def text(self) -> str:
        """Return the prompt's text."""
        if self.messages is not None:
            return "\n".join(message.content for message in self.messages)
        if isinstance(self.prompt, list):
            return "\n".join(self.prompt)
        return self.prompt or ""


_DECODER = msgspec.json.Decoder(Body)


def parse_body(data: bytes, chat: bool) -> Body:
    """Read a completion's body.

    :raises ValueError: saying what is wrong with it
    """
    try:
        body = _DECODER.decode(data)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    except msgspec.DecodeError as error:
        raise ValueError(f"the body is not JSON: {error}") from None
    required_field = "messages" if chat else "prompt"
    if getattr(body, required_field) is None:
        raise ValueError(f'Object missing required field "{required_field}"')
    for name in ("max_tokens", "max_completion_tokens"):
        value = getattr(body, name)
        if value is not None and value < 1:
            raise ValueError(f'Expected a number of at least 1 - at "$.{name}"')
    return body


def build_prompt(body: Body, catalogue: Catalogue) -> Prompt:
    """Return what decisions need to know of a completion.

    :raises KeyError: if the catalogue has no such model
    """
    model = catalogue.models[body.model]
    size = len(body.text().encode())
    max_tokens = body.max_tokens or body.max_completion_tokens or DEFAULT_MAX_TOKENS
    return Prompt(
        model=body.model,
        tokens=max(1, math.ceil(size / model.bytes_per_token)),
        max_tokens=min(max_tokens, model.max_tokens),
        stream=body.stream,
        repeatable=not body.temperature or body.seed is not None,
    )


def extract_segments(
    body: Body, bounds: t.Sequence[int], bytes_per_token: float
) -> list[bytes]:
    """Cut a prompt at bounds in tokens, as octets."""
    data = body.text().encode()
    offsets = [math.floor(bound * bytes_per_token) for bound in bounds]
    return [data[start:stop] for start, stop in zip(offsets, offsets[1:])]
