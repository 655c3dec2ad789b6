"""Claims of idempotency keys: at most one attempt with a key runs.

The name of a claim is derived from customer and key, so that a single
conditional create decides which attempt runs. An open claim is not taken
over within its retention: its holder may be paused and may still send the
request. Only the holder itself marks a claim as not run, after which it
sends nothing, and only then does a later attempt replace the claim by its
own.
"""

import base64
import dataclasses
import enum
import hashlib

import result

from celeryward import errors
from celeryward.objects import protocol

CLAIM_KIND = 'Claim'
RETENTION_SECONDS = 7 * 86_400.0
MAX_KEY_LENGTH = 255
MAX_STORED_BODY_BYTES = 65_536


class State(enum.Enum):
    """What is known about the attempt that holds a claim.

    An open claim belongs to an attempt that is running or was lost.
    """

    OPEN = 'open'
    RAN = 'ran'
    NOT_RUN = 'not-run'


class Action(enum.Enum):
    """What an attempt does when it finds an existing claim.

    ``RUN``: the claim is its own; ``REOPEN``: replace the claim and run;
    ``REPLAY``: answer with the stored response.
    """

    RUN = 'run'
    REOPEN = 'reopen'
    REPLAY = 'replay'


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response of an attempt that ran.

    :param bool stored: whether headers and body are complete. They are not
        stored for a large or interrupted response.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    stored: bool = True

    def without_large_body(self):
        """Return the response in stored form.

        Headers and body are left out if the body exceeds
        ``MAX_STORED_BODY_BYTES`` or is incomplete.
        """
        if self.stored and len(self.body) <= MAX_STORED_BODY_BYTES:
            return self
        return Response(self.status, {}, b'', stored=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One attempt's claim of a key.

    :param str name: name of the object, see :func:`claim_name`.
    :param str attempt: unique id of the attempt.
    :param str digest: digest of the request.
    :param float expires_at: UTC seconds; the end of the retention.
    :param Response response: None unless the attempt ran.
    """

    name: str
    attempt: str
    digest: str
    expires_at: float
    state: State = State.OPEN
    response: Response | None = None

    def as_not_run(self):
        """Return the claim of an attempt that certainly did not run."""
        return dataclasses.replace(self, state=State.NOT_RUN)

    def as_ran(self, response):
        """Return the claim of an attempt that ran with a response."""
        return dataclasses.replace(
            self, state=State.RAN, response=response.without_large_body()
        )

    def to_object(self):
        """Return the object that the platform stores."""
        spec = {
            'attempt': self.attempt,
            'digest': self.digest,
            'expires_at': self.expires_at,
            'state': self.state.value,
        }
        if self.response is not None:
            body = base64.b64encode(self.response.body).decode('ascii')
            fields = dataclasses.asdict(self.response)
            spec['response'] = {**fields, 'body': body}
        return protocol.StoredObject(CLAIM_KIND, self.name, spec)


def from_object(stored):
    """Return the :class:`Claim` in a stored object."""
    fields = dict(stored.spec)
    response = fields.pop('response', None)
    if response is not None:
        body = base64.b64decode(response['body'])
        response = Response(**{**response, 'body': body})
    state = State(fields.pop('state'))
    return Claim(stored.name, state=state, response=response, **fields)


def claim_name(customer, key):
    """Return the name of the claim of a customer's key.

    The length prefix prevents collisions between keys of different
    customers.
    """
    text = f'{len(customer)}:{customer}{key}'
    return hashlib.sha256(text.encode('utf-8')).hexdigest()


def open_claim(call, attempt, now):
    """Return ``Ok`` with the open claim of a call, or ``Err(BadInput)``.

    :param str attempt: unique id of the attempt.
    :param float now: UTC seconds.
    """
    if len(call.idempotency_key) > MAX_KEY_LENGTH:
        return result.Err(
            errors.BadInput(
                f'idempotency-key: longer than {MAX_KEY_LENGTH} characters',
                step='claim',
                peer=call.customer.name,
            )
        )
    name = claim_name(call.customer.name, call.idempotency_key)
    return result.Ok(
        Claim(name, attempt, call.digest, now + RETENTION_SECONDS)
    )


def decide(existing, requested, now):
    """Decide what an attempt does when it finds an existing claim.

    :param Claim existing: the stored claim.
    :param Claim requested: the claim of the attempt.
    :param float now: UTC seconds.
    :returns: ``Ok(Action)``, or ``Err`` with ``KeyReused``, ``ClaimHeld``
        or ``OutcomeNotStored``.
    """
    if existing.attempt == requested.attempt:
        return result.Ok(Action.RUN)
    if existing.expires_at <= now:
        return result.Ok(Action.REOPEN)
    if existing.digest != requested.digest:
        return _refuse(
            errors.KeyReused,
            'the idempotency key was used for a request with other content',
            requested,
        )
    if existing.state is State.NOT_RUN:
        return result.Ok(Action.REOPEN)
    if existing.state is State.OPEN:
        return _refuse(
            errors.ClaimHeld,
            'an earlier attempt with this key is running or was lost; this'
            ' attempt was not run',
            requested,
        )
    if not existing.response.stored:
        return _refuse(
            errors.OutcomeNotStored,
            'an earlier attempt with this key ran with status '
            f'{existing.response.status}; its response was not stored',
            requested,
        )
    return result.Ok(Action.REPLAY)


def _refuse(error_class, message, claim):
    return result.Err(error_class(message, step='claim', peer=claim.name))
