"""Runs at a software version that are still under way."""

# A run is overdue if it takes this many times as long as the old version
# usually takes, and not less than the shortest time.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_SECONDS = 0.4
# Events of a stream from which its pace can be told.
MIN_PACED_EVENTS = 4


class Run:
    """One run, from its dispatch to the end of its answer.

    :param str kind: runs of one kind are compared with each other.
    :param str endpoint: id of the endpoint.
    :param float work: size of the request; 1.0 is usual.
    :param float started_at: monotonic seconds.
    """

    def __init__(self, service, software, kind, endpoint, work, started_at):
        self.service = service
        self.software = software
        self.kind = kind
        self.endpoint = endpoint
        self.work = work
        self.started_at = started_at
        self.answered_at = None
        self.events = 0
        # Whether it was found overdue, so that its end says nothing new.
        self.judged = False

    def answered(self, now):
        """Note that the head of the answer has arrived."""
        self.answered_at = now

    def sent_events(self, count):
        """Note how many events of a stream have arrived."""
        self.events = count

    @property
    def head(self):
        """Seconds to the head of the answer for a unit of work, or None."""
        if self.answered_at is None:
            return None
        return (self.answered_at - self.started_at) / self.work

    def pace(self, now):
        """Return the seconds for an event so far, or None if unknown."""
        if self.answered_at is None or self.events < MIN_PACED_EVENTS:
            return None
        return (now - self.answered_at) / self.events

    def is_overdue(self, usual, now):
        """Return whether the old version would have been further by now.

        :param evidence.Usual usual: what runs of the kind usually come to.
        """
        if self.answered_at is None:
            expected = usual.expected_head(now)
            waited = now - self.started_at
            if expected is not None:
                expected *= self.work
        else:
            expected = usual.expected_pace()
            waited = now - self.answered_at
            if expected is not None:
                expected *= self.events + 1
        if expected is None:
            return False
        return waited > max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * expected)
