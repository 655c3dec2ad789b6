"""Leadership by a lease object, with fencing numbers.

The holder counts its time from before it sends a renewal; others count
theirs from after they have read it. Each side allows for a clock that runs
at another rate, so that the holder stops before anyone can take over.
"""

import dataclasses

import curio
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import protocol

LEASE_KIND = 'Lease'
# 340 daemons that look at the lease once in its duration cost 23 of the
# platform's 2,000 reads a second.
DURATION_SECONDS = 15.0
RENEWAL_SECONDS = 4.0
# Allowance for clock rates. Host clocks differ by some 100 parts in a
# million; the rest covers slow scheduling.
RATE_MARGIN = 0.05


class LeaseLost(errors.CelerywardError):
    """This daemon does not hold the lease, or not for long enough."""

    code = 'lease_lost'
    execution = errors.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Leadership for a time.

    :param int fence: fencing number, one higher at each takeover.
    :param Deadline acquired_at: when this holder took the lease over.
    :param Deadline deadline: when this holder must have stopped.
    :param bool after_release: whether the previous holder gave the lease back.
    """

    fence: int
    acquired_at: deadlines.Deadline
    deadline: deadlines.Deadline
    after_release: bool


class Leadership:
    """This daemon's view of one lease.

    :param client: :class:`client.ObjectClient`.
    :param str name: name of the lease object.
    :param str holder: unique id of this run of the daemon. A restarted
        daemon is another holder.
    """

    def __init__(self, client, name, holder, duration=DURATION_SECONDS):
        self.client = client
        self.name = name
        self.holder = holder
        self.duration = duration
        self.stored = None
        self.grant = None
        self.takeover_at = None
        self.attempts = 0
        self.highest_fence = 0

    async def run(self):
        """Renew the lease, or try to take it, until cancelled."""
        while True:
            await self.renew_or_acquire()
            wait = self.duration if self.grant is None else RENEWAL_SECONDS
            await curio.sleep(wait)

    async def renew_or_acquire(self):
        """Renew the lease if it is held, else take it if it is free."""
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
        """Return ``Ok(Grant)`` if the lease is held for some time more.

        :param float min_seconds: time that must be left.
        :returns: ``Err(LeaseLost)`` otherwise.
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
        """Stop to act as holder, after proof that another one leads.

        :param int fence: a number that an endpoint has seen; the next one
            taken is higher, even if the lease object was deleted.
        """
        self.grant = None
        self.highest_fence = max(self.highest_fence, fence)

    def observe(self, stored):
        """Note a lease as read; a change starts the waiting time anew."""
        if self.stored is None or stored.revision != self.stored.revision:
            waited = self.duration * (1 + RATE_MARGIN)
            self.takeover_at = deadlines.Deadline.after(waited)
        self.stored = stored
        fence = stored.spec.get('fence', 0)
        self.highest_fence = max(self.highest_fence, fence)

    def can_acquire(self):
        """Return whether the lease is absent, given back or run out."""
        if self.stored is None or not self.stored.spec.get('holder'):
            return True
        return self.takeover_at.expired()

    async def acquire(self):
        """Try to become the holder with the next fencing number."""
        before = self.stored
        fence = self.highest_fence + 1
        # An operator may clear the holder, or delete the lease, while an
        # order is under way; only the holder itself can vouch for none.
        after_release = (
            before is not None and before.spec.get('released') is True
        )
        started = deadlines.Deadline.after(0.0)
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
            'lease taken with fencing number {}', fence
        )

    async def renew(self):
        """Extend the lease; give up at once if another one holds it."""
        started = deadlines.Deadline.after(0.0)
        written = await self.write(self.grant.fence)
        if written is not None and self.grant is not None:
            self.observe(written)
            self.grant = dataclasses.replace(
                self.grant, deadline=self.grant_deadline(started)
            )

    def grant_deadline(self, started):
        """Return the holder's deadline for a write begun at some time."""
        return deadlines.Deadline(
            started.at + self.duration * (1 - RATE_MARGIN)
        )

    async def write(self, fence):
        """Write the lease; return it as stored, or None.

        Each write carries its own attempt number, so that a read-back
        tells whether exactly this write has happened.
        """
        self.attempts += 1
        spec = {
            'holder': self.holder,
            'fence': fence,
            'attempt': self.attempts,
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
        """Return the stored lease if a failed write did happen."""
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
        # An earlier write of this holder that arrived late only changes
        # the revision; the deadline stays that of the last known write.
        self.observe(current)
        return None

    async def release(self):
        """Give the lease back, so that the next holder need not wait."""
        if self.current_grant(0.0).is_err():
            return
        fence = self.grant.fence
        self.step_down()
        spec = {'holder': '', 'fence': fence, 'released': True}
        stored = protocol.StoredObject(LEASE_KIND, self.name, spec)
        await self.client.put(stored, self.stored.revision)
