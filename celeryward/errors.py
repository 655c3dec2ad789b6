"""The exception hierarchy.

Every error has a ``code`` and an ``execution``, which callers see, and names
the step and the peer at which it occurred.
"""

import enum


class Execution(enum.Enum):
    """Whether an endpoint ran the request, as reported to the caller."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class CelerywardError(Exception):
    """Base of all errors.

    :param str message: what went wrong, without prompt text or secrets.
    :param str step: stage in which the error occurred, such as ``connect``.
    :param str peer: address or name of the remote side.
    """

    code = 'internal'
    execution = Execution.UNKNOWN

    def __init__(self, message, *, step, peer):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        return f'{self.message} (step {self.step}, peer {self.peer})'


class BadInput(CelerywardError):
    """The input is malformed. Nothing was run or changed."""

    code = 'bad_input'
    execution = Execution.NOT_RUN


class HeadTooLarge(BadInput):
    """The request line and headers exceed the size limit."""

    code = 'head_too_large'


class BodyTooLarge(BadInput):
    """The body of a request exceeds the size limit."""

    code = 'body_too_large'


class BodyMemoryExhausted(BadInput):
    """The body was given up, because all bodies together are too large."""

    code = 'body_memory_exhausted'


class RequestReadTimeout(BadInput):
    """The caller did not send its complete request in time."""

    code = 'caller_slow'


class NotRun(CelerywardError):
    """The request was refused and certainly did not run.

    :param Deadline retry_at: earliest time at which a retry may succeed, or
        None.
    """

    code = 'not_run'
    execution = Execution.NOT_RUN

    def __init__(self, message, *, step, peer, retry_at=None):
        super().__init__(message, step=step, peer=peer)
        self.retry_at = retry_at


class Unauthenticated(NotRun):
    """No customer has the presented key."""

    code = 'unauthenticated'


class NotPermitted(NotRun):
    """The customer may not use the model or version."""

    code = 'not_permitted'

    @classmethod
    def of(cls, customer, target, step):
        """Return the error of a customer, by name, that may not use it."""
        message = f'customer {customer} may not use {target}'
        return cls(message, step=step, peer=target)


class UnknownTarget(NotRun):
    """No model, version, cascade or service has this name."""

    code = 'unknown_target'


class LimitExceeded(NotRun):
    """A limit of the customer is reached."""

    code = 'limit_exceeded'


class VersionUnavailable(NotRun):
    """The version is withdrawn, unknown or closed to new sessions."""

    code = 'version_unavailable'


class Overloaded(NotRun):
    """No endpoint can start the request before its deadline."""

    code = 'overloaded'


class RequestMemoryExhausted(Overloaded):
    """The body was given up, because those of all requests are too large."""


class EndpointsClosed(Overloaded):
    """All endpoints that could run the request want none for a while."""

    code = 'endpoints_closed'


class EndpointsLeaving(Overloaded):
    """All endpoints that could run the request are leaving."""

    code = 'endpoints_leaving'


class EndpointsDrained(Overloaded):
    """All endpoints that could run the request are in drained domains."""

    code = 'endpoints_drained'


class HarmfulRequest(NotRun):
    """The request has crashed as many endpoints as the message states."""

    code = 'harmful_request'


class DeadlineExceeded(NotRun):
    """The deadline passed before the request was dispatched."""

    code = 'deadline_exceeded'


class ShuttingDown(NotRun):
    """The daemon is shutting down and accepts no new requests."""

    code = 'shutting_down'


class BillingBacklog(NotRun):
    """No further bill can be kept until some are written to the platform."""

    code = 'billing_backlog'


class KeyReused(NotRun):
    """The idempotency key was used for a request with other content."""

    code = 'key_reused'


class ClaimUnchecked(NotRun):
    """The claim of an idempotency key could not be read or created.

    This attempt was not run. Whether an earlier attempt with the key was
    run is not known.
    """

    code = 'claim_unchecked'
    earlier_execution = Execution.UNKNOWN


class OutcomeUnknown(CelerywardError):
    """A request or write may or may not have taken effect."""

    code = 'outcome_unknown'
    execution = Execution.UNKNOWN


class HarmfulRequestRan(OutcomeUnknown):
    """The request crashes endpoints, and may have run before it was found."""

    code = 'harmful_request'


class InternalError(OutcomeUnknown):
    """An unexpected error ended the request."""

    code = 'internal_error'


class AnswerLate(OutcomeUnknown):
    """The answer was incomplete at the deadline."""

    code = 'answer_late'


class ClaimHeld(OutcomeUnknown):
    """An earlier attempt with the key is running, or its host was lost."""

    code = 'claim_held'


class OutcomeNotStored(CelerywardError):
    """An earlier attempt with the key ran; its answer was not stored."""

    code = 'outcome_not_stored'
    execution = Execution.RAN


class EndpointFailure(CelerywardError):
    """A request to an endpoint failed.

    :param bool sent: whether any byte of the request may have arrived.
    """

    code = 'endpoint_failure'

    def __init__(self, message, *, step, peer, sent):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent
        self.execution = Execution.UNKNOWN if sent else Execution.NOT_RUN


class ConnectionFailed(EndpointFailure):
    """The connection could not be established, or was lost."""

    code = 'connection_failed'


class ConnectionRefused(ConnectionFailed):
    """No process listens at the address."""


class ConnectionSilent(EndpointFailure):
    """No byte was received before the progress deadline.

    :param float silent_since: time on the monotonic clock since which no
        byte was received, in seconds. Idle connections that were last read
        before it may be unresponsive too.
    """

    code = 'connection_silent'

    def __init__(self, message, *, step, peer, silent_since):
        super().__init__(message, step=step, peer=peer, sent=True)
        self.silent_since = silent_since


class EndpointLeft(EndpointFailure):
    """The endpoint was leaving or removed before the request was sent."""

    code = 'endpoint_left'

    def __init__(self, message, *, step, peer):
        super().__init__(message, step=step, peer=peer, sent=False)


class EndpointClosed(EndpointLeft):
    """The endpoint closed for a while before the request was sent."""

    code = 'endpoint_closed'


class EndpointCold(EndpointLeft):
    """There was no slot at a cold endpoint when the request was due."""

    code = 'endpoint_cold'


class EndpointRefused(EndpointFailure):
    """The endpoint refused the request and states that it did not run it."""

    code = 'endpoint_refused'

    def __init__(self, message, *, step, peer):
        super().__init__(message, step=step, peer=peer, sent=False)


class AnswerMismatch(EndpointFailure):
    """The answer belongs to a different request."""

    code = 'answer_mismatch'


class AnswerTruncated(EndpointFailure):
    """The answer ended before its end marker."""

    code = 'answer_truncated'


class AnswerInvalid(EndpointFailure):
    """The endpoint answered with an error status or a malformed body."""

    code = 'answer_invalid'


class CallerDisconnected(CelerywardError):
    """The caller closed its connection before the response was complete."""

    code = 'caller_gone'


class ProtocolError(CelerywardError):
    """A peer violated its protocol."""

    code = 'protocol_error'


class PlatformError(CelerywardError):
    """Base of the errors of the object API."""

    code = 'platform_error'


class PlatformUnavailable(PlatformError):
    """The object API did not accept the call; a write took no effect."""

    code = 'platform_unavailable'
    execution = Execution.NOT_RUN


class StateOutdated(PlatformUnavailable):
    """Another router responded that its own state is out of date."""

    code = 'state_outdated'


class WriteUnknown(PlatformError, OutcomeUnknown):
    """The answer to a write was lost; it may have taken effect."""

    code = 'write_unknown'


class Conflict(PlatformError):
    """The condition of a write failed: the stored revision differs.

    :param object current: the stored object, or None if it is absent or
        unknown.
    """

    code = 'conflict'
    execution = Execution.NOT_RUN

    def __init__(self, message, *, step, peer, current=None):
        super().__init__(message, step=step, peer=peer)
        self.current = current


class NotFound(PlatformError):
    """The object does not exist."""

    code = 'not_found'
    execution = Execution.NOT_RUN


class RevisionExpired(PlatformError):
    """A watch requested changes that the platform no longer retains."""

    code = 'revision_expired'
    execution = Execution.NOT_RUN


class AnswerTooLarge(PlatformError):
    """The answer would exceed the size limit of the remote side."""

    code = 'answer_too_large'


class PeerFailure(CelerywardError):
    """A call to another daemon failed, or the daemon refused it."""

    code = 'peer_failure'


def unwrap(outcome):
    """Return the value of ``Ok``, or raise the error inside ``Err``."""
    if outcome.is_err():
        raise outcome.unwrap_err()
    return outcome.unwrap()


def drop_tracebacks(error):
    """Release the frames that an error passed, and what they hold.

    A frame that refers to the error forms a cycle with it, which would keep
    the body of a request until garbage is collected.
    """
    while error is not None:
        error.__traceback__ = None
        error = error.__context__
