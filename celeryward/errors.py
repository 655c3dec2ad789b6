"""The exception tree. Every error carries its step and its peer."""

import enum


class Execution(enum.Enum):
    """Whether the request was run at an endpoint, as told to the caller."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class CelerywardError(Exception):
    """Base of all errors.

    :param str message: what went wrong, without prompt text or secrets.
    :param str step: stage at which the error arose, such as ``connect``.
    :param str peer: address or name of the other side.
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
    """The head of a request exceeds the limit."""

    code = 'head_too_large'


class BodyTooLarge(BadInput):
    """The body of a request exceeds the limit."""

    code = 'body_too_large'


class RequestReadTimeout(BadInput):
    """The caller did not send its whole request in time."""

    code = 'caller_slow'


class NotRun(CelerywardError):
    """The request was refused and it is certain that it did not run.

    :param Deadline retry_at: earliest useful time of a new attempt, or None.
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


class HarmfulRequest(NotRun):
    """The request has crashed the stated number of endpoints."""

    code = 'harmful_request'


class DeadlineExceeded(NotRun):
    """The deadline passed before the request was dispatched."""

    code = 'deadline_exceeded'


class ShuttingDown(NotRun):
    """The daemon is stopping and takes no new work."""

    code = 'shutting_down'


class BillingBacklog(NotRun):
    """No further bill can be kept until the platform takes some."""

    code = 'billing_backlog'


class KeyReused(NotRun):
    """The idempotency key belongs to a request with other content."""

    code = 'key_reused'


class ClaimUnchecked(NotRun):
    """The claim of an idempotency key could not be read or created.

    This attempt was not run. Whether an earlier attempt with the key was
    run is not known.
    """

    code = 'claim_unchecked'
    earlier_execution = Execution.UNKNOWN


class OutcomeUnknown(CelerywardError):
    """The request, or a write, may or may not have taken effect."""

    code = 'outcome_unknown'
    execution = Execution.UNKNOWN


class AnswerLate(OutcomeUnknown):
    """The answer was not complete at the deadline."""

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
    """The connection could not be opened, or broke."""

    code = 'connection_failed'


class ConnectionSilent(EndpointFailure):
    """No byte arrived before the progress deadline.

    :param float silent_since: monotonic seconds; idle connections that were
        not read since may be silent too.
    """

    code = 'connection_silent'

    def __init__(self, message, *, step, peer, silent_since):
        super().__init__(message, step=step, peer=peer, sent=True)
        self.silent_since = silent_since


class EndpointLeft(EndpointFailure):
    """The endpoint left before the request was sent."""

    code = 'endpoint_left'

    def __init__(self, message, *, step, peer):
        super().__init__(message, step=step, peer=peer, sent=False)


class EndpointRefused(EndpointFailure):
    """The endpoint says that it did not run the request."""

    code = 'endpoint_refused'

    def __init__(self, message, *, step, peer):
        super().__init__(message, step=step, peer=peer, sent=False)


class AnswerMismatch(EndpointFailure):
    """The answer belongs to another request."""

    code = 'answer_mismatch'


class AnswerTruncated(EndpointFailure):
    """The answer ended before its end marker."""

    code = 'answer_truncated'


class AnswerInvalid(EndpointFailure):
    """The endpoint answered with an error status or a malformed body."""

    code = 'answer_invalid'


class CallerDisconnected(CelerywardError):
    """The caller closed its connection."""

    code = 'caller_gone'


class ProtocolError(CelerywardError):
    """A peer violated its protocol."""

    code = 'protocol_error'


class PlatformError(CelerywardError):
    """Base of the errors of the object API."""

    code = 'platform_error'


class PlatformUnavailable(PlatformError):
    """The object API did not take the call. A write did not happen."""

    code = 'platform_unavailable'
    execution = Execution.NOT_RUN


class WriteUnknown(PlatformError, OutcomeUnknown):
    """The answer to a write was lost; the write may have happened."""

    code = 'write_unknown'


class Conflict(PlatformError):
    """A conditional write lost its race.

    :param object current: the stored object, or None if it is absent.
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
    """A watch asked for changes that the platform no longer holds."""

    code = 'revision_expired'
    execution = Execution.NOT_RUN


class AnswerTooLarge(PlatformError):
    """The answer would be larger than the other side sends."""

    code = 'answer_too_large'


class PeerFailure(CelerywardError):
    """A call to another daemon failed, or the daemon refused it."""

    code = 'peer_failure'


def unwrap(outcome):
    """Return the value of ``Ok``, or raise the error inside ``Err``."""
    if outcome.is_err():
        raise outcome.unwrap_err()
    return outcome.unwrap()
