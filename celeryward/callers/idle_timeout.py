"""Decides how long the idle connection of a caller is kept.

A caller reuses a connection for as long as the configuration allows, and
learns of another limit sooner or later than a router. A request that crosses
the close of its connection gets no answer, so that the longer limit counts for
a while after each change. This answers changes of the limit under load.
"""

import dataclasses

from celeryward import deadlines
from celeryward import ingress

# Time after which callers know of a shorter limit.
NOTICE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class FormerLimit:
    """A limit that was in force, and until when it still counts."""

    seconds: float
    until: deadlines.Deadline


class IdleTimeout:
    """Follows the limit on idle connections through all configurations.

    :param ingress.ConfigurationHolder configuration: calls
        :meth:`on_configuration` at each change.
    """

    def __init__(self, configuration):
        self.seconds = ingress.CallerLimits().idle_seconds
        self.former = ()
        configuration.listeners.append(self.on_configuration)

    def on_configuration(self, configuration):
        """Apply the limit of a new configuration."""
        shorter = configuration.limits.idle_seconds < self.seconds
        self.former = tuple(
            limit for limit in self.former if not limit.until.expired()
        )
        if shorter:
            until = deadlines.Deadline.after(NOTICE_SECONDS)
            self.former += (FormerLimit(self.seconds, until),)
        self.seconds = configuration.limits.idle_seconds

    def deadline(self, idle_since):
        """Return until when an idle connection is kept.

        :param float idle_since: monotonic seconds.
        :returns: :class:`deadlines.Deadline`.
        """
        counting = [
            limit.seconds for limit in self.former if not limit.until.expired()
        ]
        return deadlines.Deadline(idle_since + max(self.seconds, *counting, 0))
