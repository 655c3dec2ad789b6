"""How long entries that disappear in a store outage stay in use."""

from celeryward import deadlines
from celeryward.objects import freshness

# Entries that expired during an outage are registered again within two
# seconds of its end; a router detects the end with its next call.
REREGISTRATION_SECONDS = 2.5
# Subtracted from Bounds.contact_seconds, so that a kept entry is removed
# before the router must act on the state of the store again.
CONTACT_RESERVE_SECONDS = 0.5
# Subtracted from Bounds.leave_seconds, because a departure takes this long to
# reach the router.
PROPAGATION_RESERVE_SECONDS = 0.6


class OutageTracker:
    """Tracks when the store was last unavailable.

    An endpoint's entry that disappears may have expired because the store
    was unavailable, and be registered again soon. It is kept for at most the
    time that this takes after the last moment of unavailability, and always
    for less than the time within which a router must notice a departure.

    :param Bounds bounds: :class:`router_settings.Bounds`.
    :param clock: function that returns seconds on the boot-time clock.
    """

    def __init__(self, bounds, clock=freshness.boot_seconds):
        self.clock = clock
        self.set_bounds(bounds)
        self.unavailable_at = None
        self.reported_unavailable_at = None

    def set_bounds(self, bounds):
        """Apply the bounds within which departures must be noticed."""
        self.reregistration_seconds = min(
            REREGISTRATION_SECONDS,
            bounds.contact_seconds - CONTACT_RESERVE_SECONDS,
        )
        self.settle_seconds = bounds.contact_seconds
        self.max_keep_seconds = (
            bounds.leave_seconds - PROPAGATION_RESERVE_SECONDS
        )

    def record_failure(self, started_at):
        """Record a call that the store did not answer.

        The store was unavailable when the call began; by the time the call
        failed, it may have been available again.

        :param float started_at: when the call began.
        """
        self.unavailable_at = max(
            started_at, self.unavailable_at or started_at
        )

    def record_report(self, age):
        """Record the age of an outage that came with the latest changes.

        :param float | None age: seconds since the router that relayed the
            changes last found the store unavailable; None if the router
            never did, or if the changes come from the store.
        """
        self.reported_unavailable_at = (
            None if age is None else self.clock() - age
        )

    def age(self):
        """Return the seconds since the last outage; None if there was none."""
        known = [
            at
            for at in (self.unavailable_at, self.reported_unavailable_at)
            if at is not None
        ]
        return self.clock() - max(known) if known else None

    def is_settled(self):
        """Return whether writes that an outage delayed have arrived."""
        age = self.age()
        return age is None or age > self.settle_seconds

    def keep_until(self):
        """Return the deadline to which an entry missing now is kept."""
        age = self.age()
        if age is None:
            return deadlines.Deadline.after(0.0)
        seconds = min(self.reregistration_seconds - age, self.max_keep_seconds)
        return deadlines.Deadline.after(max(0.0, seconds))
