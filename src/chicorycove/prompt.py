"""Parses the bodies of completion requests in OpenAI's format."""

import dataclasses
import math
import typing as t

import msgspec

from .catalogue import Catalogue
from .request import Prompt

DEFAULT_MAX_TOKENS = 256  # output tokens if the body sets no limit


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message of a chat."""

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """The fields of a completion request that decisions need."""

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
    """Parse the body of a completion request.

    :raises ValueError: if the body is invalid; the message says why
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
    """Return the prompt of a completion request, its tokens estimated by size.

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
    """Return the UTF-8 parts of a prompt between bounds, given in tokens."""
    data = body.text().encode()
    offsets = [math.floor(bound * bytes_per_token) for bound in bounds]
    return [data[start:stop] for start, stop in zip(offsets, offsets[1:])]
