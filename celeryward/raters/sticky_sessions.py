"""Sessions that are pinned to a software version."""

import dataclasses

# The version of a session is kept for this many times the pause after which
# the session has ended.
SESSION_EXPIRY_FACTOR = 1.5
MAX_SESSIONS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class StickySession:
    """The version to which a session is pinned.

    :param float expires_at: monotonic seconds after which it is discarded.
    """

    software: str
    expires_at: float


class StickySessions:
    """The versions of recent sessions, by service and session.

    :param float session_seconds: pause after which a session has ended.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, session_seconds, clock):
        self.session_seconds = session_seconds
        self.clock = clock
        self.sessions = {}

    def version(self, service, session):
        """Return the version of a session, or None if it has expired."""
        sticky = self.sessions.get((service, session)) if session else None
        if sticky is None or sticky.expires_at < self.clock():
            return None
        return sticky.software

    def record(self, service, session, software):
        """Pin a session to a version, at the start and end of each run."""
        if not session:
            return
        now = self.clock()
        if len(self.sessions) >= MAX_SESSIONS:
            self.sessions = {
                key: sticky
                for key, sticky in self.sessions.items()
                if sticky.expires_at >= now
            }
        expires_at = now + SESSION_EXPIRY_FACTOR * self.session_seconds
        self.sessions[(service, session)] = StickySession(software, expires_at)
