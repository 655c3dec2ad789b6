"""Leader election by a lease object, with fencing numbers.

The holder measures the duration of its lease from before it sends a
renewal; other daemons measure it from after they have read the renewal. Both
allow for clocks that run at different rates, so that the holder stops before
another daemon can take over.
"""

import dataclasses

import curio
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import protocol

LEASE_KIND = 'Lease'
# 340 daemons that read the lease once per duration use 23 of the 2,000 reads
# per second that the platform serves.
DURATION_SECONDS = 15.0
RENEWAL_SECONDS = 4.0
# Allowance for clock rates, as a share of the duration. Host clocks differ by
# about 100 ppm; the rest covers scheduling delays.
RATE_MARGIN = 0.05
# A higher fencing number is not one that daemons have counted up to.
MAX_FENCE = 2**53


class LeaseLost(errors.CelerywardError):
    """This daemon does not hold the lease for the required time."""

    code = 'lease_lost'
    execution = errors.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A lease that this daemon holds for a limited time.

    :param int fence: fencing number, higher at each takeover.
    :param Deadline acquired_at: when this holder acquired the lease.
    :param BootDeadline deadline: when this holder must have stopped acting as
        leader, unless it renews the lease.
    :param bool after_release: whether the previous holder released the
        lease itself.
    """

    fence: int
    acquired_at: deadlines.Deadline
    deadline: deadlines.BootDeadline
    after_release: bool


class Leadership:
    """Acquires and renews one lease for this daemon.

    :param client: :class:`client.ObjectClient`.
    :param str name: name of the lease object.
    :param str holder: unique id of this run of the daemon. A restarted
        daemon is a different holder.
    :param float duration: seconds for which the lease is valid after a
        write.
    """

    def __init__(self, client, name, holder, duration=DURATION_SECONDS):
        self.client = client
        self.name = name
        self.holder = holder
        self.duration = duration
        self.stored = None
        self.grant = None
        self.takeover_at = None
        self.write_attempts = 0
        self.highest_fence = 0

    async def run(self):
        """Renew the lease, or try to acquire it, until cancelled."""
        while True:
            await self.renew_or_acquire()
            wait = self.duration if self.grant is None else RENEWAL_SECONDS
            await curio.sleep(wait)

    async def renew_or_acquire(self):
        """Renew the lease if it is held, else acquire it if possible."""
        if self.current_grant(0.0).is_ok():
            await self.renew()
            return
        self.grant = None
        read = await self.client.get(LEASE_KIND, self.name)
        if read.is_ok():
            self.observe(read.unwrap())
        elif isinstance(read.unwrap_err(), errors.NotFound):
            self.stored = None
        else:
            return
        if self.can_acquire():
            await self.acquire()

    def current_grant(self, min_seconds):
        """Return the grant if it remains valid for long enough.

        :param float min_seconds: the grant must be valid for longer than
            this.
        :returns: ``Ok(Grant)``, or ``Err(LeaseLost)``.
        """
        grant = self.grant
        if grant is not None and grant.deadline.remaining() > min_seconds:
            return result.Ok(grant)
        return result.Err(
            LeaseLost(
                f'lease is not held for another {min_seconds:.1f} s',
                step='check lease',
                peer=self.name,
            )
        )

    def step_down(self, fence=0):
        """Stop acting as leader, on release or when another daemon leads.

        :param int fence: fencing number that an endpoint or a rollout has
            seen. The next one acquired is higher, even if the lease object
            was deleted.
        """
        self.grant = None
        self.highest_fence = max(self.highest_fence, fence)

    def observe(self, stored):
        """Process the stored lease; a change restarts the takeover wait."""
        if self.stored is None or stored.revision != self.stored.revision:
            takeover_wait = self.duration * (1 + RATE_MARGIN)
            self.takeover_at = deadlines.Deadline.after(takeover_wait)
        self.stored = stored
        fence = stored.spec.get('fence', 0)
        if isinstance(fence, int) and 0 <= fence <= MAX_FENCE:
            self.highest_fence = max(self.highest_fence, fence)

    def can_acquire(self):
        """Return whether the lease is absent, released or expired."""
        if self.stored is None or not self.stored.spec.get('holder'):
            return True
        return self.takeover_at.expired()

    async def acquire(self):
        """Try to acquire the lease with the next fencing number."""
        previous = self.stored
        fence = self.highest_fence + 1
        # An operator may clear the holder, or delete the lease, while an
        # order is in progress. Only a release by the holder itself shows
        # that no order is.
        after_release = (
            previous is not None and previous.spec.get('released') is True
        )
        started = deadlines.BootDeadline.after(0.0)
        written = await self.write(fence)
        if written is None:
            return
        self.observe(written)
        self.grant = Grant(
            fence,
            deadlines.Deadline.after(0.0),
            self.grant_deadline(started),
            after_release,
        )
        logs.bind(step='take lease', peer=self.name).info(
            'lease acquired with fencing number {}', fence
        )

    async def renew(self):
        """Renew the lease; step down at once if another daemon holds it."""
        started = deadlines.BootDeadline.after(0.0)
        written = await self.write(self.grant.fence)
        if written is not None and self.grant is not None:
            self.observe(written)
            self.grant = dataclasses.replace(
                self.grant, deadline=self.grant_deadline(started)
            )

    def grant_deadline(self, started):
        """Return the deadline of the grant for a write begun at a time.

        :param BootDeadline started: when the write began.
        """
        return deadlines.BootDeadline(
            started.at + self.duration * (1 - RATE_MARGIN)
        )

    async def write(self, fence):
        """Write the lease; return it as stored, or None on failure.

        Each write carries a unique attempt number, so that a read after a
        failure shows whether exactly this write took effect.
        """
        self.write_attempts += 1
        spec = {
            'holder': self.holder,
            'fence': fence,
            'attempt': self.write_attempts,
            'duration': self.duration,
        }
        stored = protocol.StoredObject(LEASE_KIND, self.name, spec)
        if self.stored is None:
            outcome = await self.client.create(stored)
        else:
            outcome = await self.client.put(stored, self.stored.revision)
        if outcome.is_ok():
            return outcome.unwrap()
        return await self.resolve_failed_write(outcome.unwrap_err(), spec)

    async def resolve_failed_write(self, error, spec):
        """Return the stored lease if the failed write took effect, or None.

        It steps down if another daemon holds the lease.
        """
        logs.bind_error(error).info('lease not written: {}', error.message)
        current = getattr(error, 'current', None)
        if isinstance(error, errors.WriteUnknown):
            read = await self.client.get(LEASE_KIND, self.name)
            current = read.unwrap_or(None)
        if current is None:
            return None
        if current.spec == spec:
            return current
        if current.spec.get('holder') != self.holder:
            self.step_down()
        # A delayed earlier write of this holder changes only the revision;
        # the deadline remains that of the last confirmed write.
        self.observe(current)
        return None

    async def release(self):
        """Release the lease, so that the next holder need not wait."""
        if self.current_grant(0.0).is_err():
            return
        fence = self.grant.fence
        self.step_down()
        spec = {'holder': '', 'fence': fence, 'released': True}
        stored = protocol.StoredObject(LEASE_KIND, self.name, spec)
        await self.client.put(stored, self.stored.revision)
