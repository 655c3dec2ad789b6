"""Counts and logs the connections that a listener closes or refuses.

Clients that return at once would fill the log, so that one line tells of all
that were closed since the last one. Needs no network.
"""

import collections
import time

from celeryward import logs

LOG_SECONDS = 1.0


class Closings:
    """The connections that one listener closed, by cause.

    The causes are ``total`` and ``address`` (refused for the limit), ``idle``
    (closed for a new connection), ``slow`` (the same, while its request
    arrived too slowly), ``ahead`` (the same, with many requests sent ahead),
    ``unread`` (its client didn't read) and
    ``input`` (its client sent more than is kept of unfinished calls, or did
    not finish one in time).

    :param str listener: name of the listener, for the log and the metric.
    :param count: function of the listener and the cause.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(
        self,
        listener,
        count=lambda listener, cause: None,
        clock=time.monotonic,
    ):
        self.listener = listener
        self.count = count
        self.clock = clock
        self.unlogged = collections.Counter()
        self.last_peer = ''
        self.log_at = 0.0

    def record(self, cause, peer):
        """Count a connection that is closed.

        :param str peer: address of the client; the log has the last one.
        """
        self.count(self.listener, cause)
        self.unlogged[cause] += 1
        self.last_peer = peer
        if self.clock() >= self.log_at:
            self.log()

    def seconds_to_log(self):
        """Return how long the next line has to wait."""
        return max(0.0, self.log_at - self.clock())

    def log(self):
        """Log what was closed since the last line, if anything was."""
        if not self.unlogged:
            return
        self.log_at = self.clock() + LOG_SECONDS
        logs.bind(
            step='accept',
            peer=self.last_peer,
            listener=self.listener,
            **self.unlogged,
        ).warning('connections closed for their limits')
        self.unlogged.clear()
