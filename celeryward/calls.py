"""A caller's request, its runs and its bill, without any wire format."""

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
    """A chat completion request.

    :param str model: name of a model or of a cascade.
    :param int max_tokens: upper bound on generated tokens; with 0 the
        engine chooses.
    """

    model: str
    messages: tuple[Message, ...]
    stream: bool = False
    max_tokens: int = 0
    temperature: float | None = None

    def prompt(self):
        """Return the messages as one text, separated by line breaks."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """An HTTP request that is forwarded to a service without models.

    :param str target: path and query at the service.
    :param bool idempotent: whether it may be sent again after it may have
        run.
    """

    service: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool


class Progress:
    """What has been done for a request so far.

    ``dispatches`` counts the times that it was passed on to an endpoint.
    """

    def __init__(self):
        self.dispatches = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of an authenticated customer.

    :param str session_token: signed session token from the request; empty
        if there is none.
    :param str session_id: session id that the caller chose; empty if there
        is none.
    :param str idempotency_key: empty if there is none.
    :param usage_record: :class:`accounting.UsageRecord`, with the outcome and
        cost of the request, or None.
    :param str digest: digest of method, target and body.
    :param Progress progress: shared by all dispatches of the request.
    """

    request_id: str
    customer: catalog.Customer
    deadline: deadlines.Deadline
    request: ChatRequest | ServiceRequest
    session_token: str = ''
    session_id: str = ''
    idempotency_key: str = ''
    priority: int = 0
    usage_record: object = None
    digest: str = ''
    progress: Progress = dataclasses.field(default_factory=Progress)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Numbers of tokens that one run used."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request, or of a part of it, at an endpoint.

    :param str version: name of the model version.
    :param float cost: in cost units.
    """

    version: str
    endpoint: str
    usage: Usage
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bill:
    """What one request costs its customer.

    :param str target: model or cascade that the caller named.
    :param float finished_at: UTC seconds.
    :param str id: digest of customer, request id and request, in
        hexadecimal; the same for each execution of one request.
    :param str batch: name of the only batch that may contain the bill;
        each copy of the bill must have it.
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
