"""Until when an entry that is missing may have lapsed in an outage."""

from celeryward import deadlines
from celeryward.objects import freshness

# Entries that lapsed are back within two seconds of the store's return, and
# a router notices the return by its next try.
RETURN_SECONDS = 2.5
# Left of the time after which a router is held to the store's word again.
CONTACT_RESERVE_SECONDS = 0.5
# Left of the time allowed after a departure, for the news to arrive.
NEWS_RESERVE_SECONDS = 0.6


class Outages:
    """Knows when the store was last away.

    An entry of an endpoint that vanishes may have lapsed because the store
    was away, and be back soon. It is kept no longer than that takes from the
    last moment at which the store was away, and never as long as a departure
    may go unnoticed.

    :param Bounds bounds: :class:`router_settings.Bounds`.
    :param clock: function that returns seconds on the boot-time clock.
    """

    def __init__(self, bounds, clock=freshness.boot_seconds):
        self.clock = clock
        self.set_bounds(bounds)
        self.away_at = None
        self.told_away_at = None

    def set_bounds(self, bounds):
        """Set the bounds that departures keep."""
        self.return_seconds = min(
            RETURN_SECONDS, bounds.contact_seconds - CONTACT_RESERVE_SECONDS
        )
        self.settle_seconds = bounds.contact_seconds
        self.keep_seconds = bounds.leave_seconds - NEWS_RESERVE_SECONDS

    def failed(self, started_at):
        """Note that the store did not serve a call.

        It was away when the call began; when the call ended, it may have
        been back already.

        :param float started_at: when the call began.
        """
        self.away_at = max(started_at, self.away_at or started_at)

    def told(self, age):
        """Note what the source of the next changes knows of an outage.

        :param float | None age: seconds since the store was away for the
            router that passed them on; None if they come from the store.
        """
        self.told_away_at = None if age is None else self.clock() - age

    def age(self):
        """Return the seconds since the store was last away, or None."""
        known = [
            at for at in (self.away_at, self.told_away_at) if at is not None
        ]
        return self.clock() - max(known) if known else None

    def is_settled(self):
        """Return whether what others wrote in an outage has arrived."""
        age = self.age()
        return age is None or age > self.settle_seconds

    def keep_until(self):
        """Return until when an entry that is now found missing is used."""
        age = self.age()
        if age is None:
            return deadlines.Deadline.after(0.0)
        seconds = min(self.return_seconds - age, self.keep_seconds)
        return deadlines.Deadline.after(max(0.0, seconds))
