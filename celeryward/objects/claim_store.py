"""Creates claims at the platform and stores their outcomes."""

import collections
import dataclasses

import curio
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import claims

MAX_STEPS = 4
# Longest waits for a claim and for storing its outcome. The platform answers
# in milliseconds, so that a longer wait means an outage: calls with a key
# are refused, and outcomes are stored later.
ACQUIRE_SECONDS = 1.0
STORE_OUTCOME_SECONDS = 1.0
# After a failure, calls with a key are refused without asking the platform
# for this long, so that they are refused at once during an outage.
RETRY_DELAY_SECONDS = 1.0
# At most 64 KiB each. The oldest is dropped above this; its claim then
# stays open, which is answered as unknown.
MAX_PENDING_OUTCOMES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class AcquiredClaim:
    """An open claim of this daemon at its revision."""

    claim: claims.Claim
    revision: int


class ClaimStore:
    """The claims of this daemon.

    :param client: :class:`client.ObjectClient`.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, client, clock):
        self.client = client
        self.clock = clock
        self.retry_at = deadlines.Deadline.after(0.0)
        self.unavailable = False
        self.probing = False
        self.pending = collections.deque(maxlen=MAX_PENDING_OUTCOMES)

    async def acquire(self, claim):
        """Claim a key for one attempt.

        :returns: ``Ok(AcquiredClaim)`` if the attempt is to run,
            ``Ok(claims.Response)`` if the stored response is the answer,
            or ``Err`` with an error for the caller.
        """
        if self.unavailable and (self.probing or not self.retry_at.expired()):
            return self.refuse(claim)
        self.probing = True
        try:
            return await curio.timeout_after(
                ACQUIRE_SECONDS, self.try_acquire, claim
            )
        except curio.TaskTimeout:
            self.mark_unavailable()
            return self.refuse_and_mark(claim)
        finally:
            self.probing = False

    async def try_acquire(self, claim):
        """Claim a key; the platform may take any time to answer."""
        outcome = await self.client.create(claim.to_object())
        for _ in range(MAX_STEPS):
            if outcome.is_ok():
                self.unavailable = False
                return result.Ok(
                    AcquiredClaim(claim, outcome.unwrap().revision)
                )
            read = await self.read_back(claim, outcome.unwrap_err())
            if read.is_err():
                return read
            current = read.unwrap()
            if current is None:
                outcome = await self.client.create(claim.to_object())
                continue
            existing = claims.from_object(current)
            decided = claims.decide(existing, claim, self.clock())
            if decided.is_err():
                return decided
            if decided.unwrap() is claims.Action.RUN:
                return result.Ok(AcquiredClaim(claim, current.revision))
            if decided.unwrap() is claims.Action.REPLAY:
                return result.Ok(existing.response)
            outcome = await self.client.put(
                claim.to_object(), current.revision
            )
        return self.refuse_and_mark(claim)

    async def read_back(self, claim, error):
        """Read the claim after a failed write.

        :returns: ``Ok`` with the stored object or None, or
            ``Err(ClaimUnchecked)``.
        """
        if isinstance(error, errors.Conflict) and error.current is not None:
            return result.Ok(error.current)
        if isinstance(error, errors.PlatformUnavailable):
            self.mark_unavailable()
            return self.refuse(claim)
        read = await self.client.get(claims.CLAIM_KIND, claim.name)
        if read.is_ok():
            return read
        if isinstance(read.unwrap_err(), errors.NotFound):
            return result.Ok(None)
        self.mark_unavailable()
        return self.refuse_and_mark(claim)

    def mark_unavailable(self):
        """Refuse calls with a key for a while, then let one try."""
        if not self.unavailable:
            logs.bind(step='claim', peer=self.client.peer).warning(
                'platform is away; calls with an idempotency key are refused'
            )
        self.unavailable = True
        self.retry_at = deadlines.Deadline.after(RETRY_DELAY_SECONDS)

    def refuse_and_mark(self, claim):
        """Refuse an attempt whose claim may exist, and mark it later."""
        self.pending.append(claim.as_not_run())
        return self.refuse(claim)

    def refuse(self, claim):
        """Return the refusal of an attempt that could not claim its key."""
        return result.Err(
            errors.ClaimUnchecked(
                'this attempt was not run; an earlier attempt with this key'
                ' could not be checked',
                step='claim',
                peer=claim.name,
                retry_at=deadlines.Deadline.after(RETRY_DELAY_SECONDS),
            )
        )

    async def store_outcome(self, acquired, done):
        """Store the outcome of an attempt, later if that fails now.

        :param claims.Claim done: the claim with its outcome.
        """
        stored = False
        try:
            if self.retry_at.expired():
                outcome = await curio.timeout_after(
                    STORE_OUTCOME_SECONDS,
                    self.client.put,
                    done.to_object(),
                    acquired.revision,
                )
                stored = outcome.is_ok()
        except curio.TaskTimeout:
            self.mark_unavailable()
        finally:
            if not stored:
                self.pending.append(done)

    async def store_pending_outcomes(self):
        """Store the outcomes that could not be stored before."""
        for _ in range(len(self.pending)):
            done = self.pending.popleft()
            if not await self.store_pending_outcome(done):
                self.pending.append(done)
                return

    async def store_pending_outcome(self, done):
        """Store one outcome; return whether nothing remains to be done."""
        read = await self.client.get(claims.CLAIM_KIND, done.name)
        if read.is_err():
            return isinstance(read.unwrap_err(), errors.NotFound)
        current = claims.from_object(read.unwrap())
        mine = current.attempt == done.attempt
        if not mine or current.state is not claims.State.OPEN:
            return True
        outcome = await self.client.put(
            done.to_object(), read.unwrap().revision
        )
        return outcome.is_ok()
