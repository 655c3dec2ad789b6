"""Creates claims in the platform and stores the outcomes of attempts."""

import collections
import dataclasses

import curio
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import claims

MAX_WRITE_ATTEMPTS = 4
# Timeouts for creating a claim and for storing its outcome. The platform
# answers within milliseconds, so a timeout means an outage: calls with a key
# are refused, and outcomes are stored later.
ACQUIRE_TIMEOUT_SECONDS = 1.0
STORE_TIMEOUT_SECONDS = 1.0
# After a failure, calls with a key are refused for this long without a call
# to the platform, so that they fail fast during an outage.
RETRY_DELAY_SECONDS = 1.0
# Bounds the memory, as an outcome takes up to 64 KiB. Beyond it the oldest
# is dropped; its claim stays open, and retries are told that the outcome is
# unknown.
MAX_PENDING_OUTCOMES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class AcquiredClaim:
    """An open claim of this daemon and its revision in the platform."""

    claim: claims.Claim
    revision: int


class ClaimStore:
    """Acquires claims for this daemon and stores their outcomes.

    After a failure of the platform it works as a circuit breaker: calls with
    a key are refused until ``retry_at``, after which a single call probes
    the platform.

    :param client: :class:`client.ObjectClient`.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, client, clock):
        self.client = client
        self.clock = clock
        self.retry_at = deadlines.Deadline.after(0.0)
        self.unavailable = False
        self.probing = False
        self.pending_outcomes = collections.deque(maxlen=MAX_PENDING_OUTCOMES)

    async def acquire(self, claim):
        """Claim a key for one attempt.

        :returns: ``Ok(AcquiredClaim)`` if the attempt is to run,
            ``Ok(claims.Response)`` if the stored response is to be
            replayed, or ``Err`` with an error for the caller.
        """
        if self.unavailable and (self.probing or not self.retry_at.expired()):
            return self.refuse(claim)
        probes = self.unavailable
        self.probing = self.probing or probes
        try:
            return await curio.timeout_after(
                ACQUIRE_TIMEOUT_SECONDS, self.try_acquire, claim
            )
        except curio.TaskTimeout:
            self.mark_unavailable()
            return self.refuse_and_mark_not_run(claim)
        finally:
            if probes:
                self.probing = False

    async def try_acquire(self, claim):
        """Claim a key, without a timeout."""
        refuse = self.refuse
        outcome = await self.client.create(claim.to_object())
        for _ in range(MAX_WRITE_ATTEMPTS):
            if outcome.is_ok():
                self.unavailable = False
                return result.Ok(
                    AcquiredClaim(claim, outcome.unwrap().revision)
                )
            if isinstance(outcome.unwrap_err(), errors.WriteUnknown):
                # The write may still take effect, also after later ones.
                refuse = self.refuse_and_mark_not_run
            read = await self.read_back(claim, outcome.unwrap_err(), refuse)
            if read.is_err():
                return read
            self.unavailable = False
            current = read.unwrap()
            if current is None:
                outcome = await self.client.create(claim.to_object())
                continue
            existing = claims.from_object(current)
            decision = claims.decide(existing, claim, self.clock())
            if decision.is_err():
                return decision
            if decision.unwrap() is claims.Action.RUN:
                return result.Ok(AcquiredClaim(claim, current.revision))
            if decision.unwrap() is claims.Action.REPLAY:
                return result.Ok(existing.response)
            outcome = await self.client.put(
                claim.to_object(), current.revision
            )
        return self.refuse_and_mark_not_run(claim)

    async def read_back(self, claim, error, refuse):
        """Read the claim after a failed write.

        :param refuse: function that refuses the attempt if it can't be read.
        :returns: ``Ok`` with the stored object or None, or
            ``Err(ClaimUnchecked)``.
        """
        if isinstance(error, errors.Conflict) and error.current is not None:
            return result.Ok(error.current)
        if isinstance(error, errors.PlatformUnavailable):
            self.mark_unavailable()
            return refuse(claim)
        read = await self.client.get(claims.CLAIM_KIND, claim.name)
        if read.is_ok():
            return read
        if isinstance(read.unwrap_err(), errors.NotFound):
            return result.Ok(None)
        self.mark_unavailable()
        return refuse(claim)

    def mark_unavailable(self):
        """Refuse calls with a key for a while, then let one probe."""
        if not self.unavailable:
            logs.bind(step='claim', peer=self.client.peer).warning(
                'platform is unavailable; calls with an idempotency key are'
                ' refused'
            )
        self.unavailable = True
        self.retry_at = deadlines.Deadline.after(RETRY_DELAY_SECONDS)

    def refuse_and_mark_not_run(self, claim):
        """Refuse an attempt whose claim may exist.

        The claim is marked as not run by :meth:`store_pending_outcomes`.
        """
        self.pending_outcomes.append(claim.as_not_run())
        return self.refuse(claim)

    def refuse(self, claim):
        """Return ``Err(ClaimUnchecked)`` for an attempt without a claim."""
        return result.Err(
            errors.ClaimUnchecked(
                'this attempt was not run; whether an earlier attempt with'
                ' this key ran is unknown',
                step='claim',
                peer=claim.name,
                retry_at=deadlines.Deadline.after(RETRY_DELAY_SECONDS),
            )
        )

    async def store_outcome(self, acquired, finished):
        """Store the outcome of an attempt; on failure, store it later.

        :param AcquiredClaim acquired: the open claim.
        :param claims.Claim finished: the claim with its outcome.
        """
        stored = False
        try:
            if self.retry_at.expired():
                outcome = await curio.timeout_after(
                    STORE_TIMEOUT_SECONDS,
                    self.client.put,
                    finished.to_object(),
                    acquired.revision,
                )
                stored = outcome.is_ok()
        except curio.TaskTimeout:
            self.mark_unavailable()
        finally:
            if not stored:
                self.pending_outcomes.append(finished)

    async def store_pending_outcomes(self):
        """Store the outcomes that could not be stored at once."""
        for _ in range(len(self.pending_outcomes)):
            finished = self.pending_outcomes.popleft()
            if not await self.store_pending_outcome(finished):
                self.pending_outcomes.append(finished)
                return

    async def store_pending_outcome(self, finished):
        """Store one outcome.

        A claim that was not run is also stored where none exists, or over
        another one that was not run: a late write of the attempt then
        conflicts and doesn't hold the key.

        :returns: whether it is stored, or obsolete because the claim is
            gone, belongs to another attempt or has an outcome already.
        """
        read = await self.client.get(claims.CLAIM_KIND, finished.name)
        not_run = finished.state is claims.State.NOT_RUN
        if read.is_err():
            if not isinstance(read.unwrap_err(), errors.NotFound):
                return False
            if not_run:
                return (await self.client.create(finished.to_object())).is_ok()
            return True
        current = claims.from_object(read.unwrap())
        is_own = current.attempt == finished.attempt
        replaceable = (
            current.state is claims.State.OPEN
            if is_own
            else not_run and current.state is claims.State.NOT_RUN
        )
        if not replaceable:
            return True
        outcome = await self.client.put(
            finished.to_object(), read.unwrap().revision
        )
        return outcome.is_ok()
