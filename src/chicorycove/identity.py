"""Identifiers of attempts and agents."""

import dataclasses

SEPARATOR = "/"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifies one attempt at a request, uniquely over all entries."""

    request: str
    number: int
    nonce: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.request, str(self.number), self.nonce))

    @classmethod
    def parse(cls, text: str) -> "AttemptId":
        """Parse an id from its text form.

        :raises ValueError: if the text is not an attempt's id
        """
        request, number, nonce = text.split(SEPARATOR)
        return cls(request, int(number), nonce)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AgentId:
    """Identifies an agent by its target and its incarnation.

    The agent gets a new incarnation at each restart.
    """

    target: str
    incarnation: str
