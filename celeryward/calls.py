"""A caller's request, its runs and its bill, free of any encoding."""

import dataclasses

from celeryward import catalog
from celeryward import deadlines


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One message of a chat."""

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """What a caller asks of a model.

    :param int max_tokens: most tokens to generate; 0 leaves it to the
        engine.
    """

    model: str
    messages: tuple[Message, ...]
    stream: bool = False
    max_tokens: int = 0
    temperature: float | None = None

    def prompt(self):
        """Return the messages as one text."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """An HTTP request that is forwarded to a plain service."""

    service: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a customer on its way through the system.

    :param str session_token: signed token that the caller presented.
    :param str session_id: the caller's own session id.
    :param str idempotency_key: the idempotency key, empty if there is none.
    :param account: :class:`accounting.Account` that notes what the request
        was, or None.
    :param str digest: digest of method, target and body.
    """

    request_id: str
    customer: catalog.Customer
    deadline: deadlines.Deadline
    request: ChatRequest | ServiceRequest
    session_token: str = ''
    session_id: str = ''
    idempotency_key: str = ''
    priority: int = 0
    account: object = None
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of one run."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request, or of a part of it, at an endpoint."""

    version: str
    endpoint: str
    usage: Usage
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bill:
    """What one request costs its customer.

    :param float finished_at: UTC seconds.
    :param str id: digest of customer, request id and request, which is the
        same for each execution of one request; in hexadecimal.
    :param str batch: name of the only batch that may contain the bill. It
        must travel with each copy of the bill.
    """

    request_id: str
    customer: str
    target: str
    runs: tuple[Run, ...]
    finished_at: float
    id: str = ''
    batch: str = ''

    @property
    def cost(self):
        """The total in cost units."""
        return sum(run.cost for run in self.runs)
