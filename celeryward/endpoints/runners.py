"""Which endpoints there are, as the store lists them."""

import dataclasses

from celeryward import deadlines
from celeryward import logs

# A store that was away has removed entries of endpoints that live; they are
# back within two seconds, and a listed departure binds after that time.
REGISTRATION_GRACE_SECONDS = 1.7


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """One start of an endpoint's process.

    :param str id: names this start; another start has another id, or a
        later ``started_at``.
    :param str software: version of the endpoint's software.
    :param int slots: requests that it runs at once.
    :param tuple models: names of the models it serves.
    :param float started_at: UTC seconds.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    software: str = ''
    slots: int = 1
    leaving: bool = False
    models: tuple[str, ...] = ()
    started_at: float = 0.0

    @property
    def address(self):
        """The address as ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def key(self):
        """What names this start, also where an id is used again."""
        return (self.id, self.started_at)


class RunnerTable:
    """All endpoints that may receive work, by id.

    :param float grace_seconds: how long an entry that vanishes around an
        outage of the store is kept.
    """

    def __init__(self, grace_seconds=REGISTRATION_GRACE_SECONDS):
        self.grace_seconds = grace_seconds
        self.runners = {}
        self.missing = {}
        self.first_software = {}
        self.listeners = []

    def put(self, runner):
        """Add or replace an endpoint."""
        before = self.runners.get(runner.id)
        self.runners[runner.id] = runner
        self.missing.pop(runner.id, None)
        self.first_software.setdefault(runner.service, runner.software)
        if before != runner:
            logs.bind(
                step='endpoints',
                peer=runner.address,
                endpoint=runner.id,
                service=runner.service,
                software=runner.software,
                leaving=runner.leaving,
            ).info('endpoint listed')
        if before is not None and before.key != runner.key:
            self.announce(before)

    def remove(self, runner_id, in_outage=False):
        """Drop an endpoint; around an outage only after a grace."""
        runner = self.runners.get(runner_id)
        if runner is None:
            return
        if in_outage and not runner.leaving:
            until = deadlines.Deadline.after(self.grace_seconds)
            if runner_id not in self.missing:
                self.missing[runner_id] = until
                self.log_missing(runner)
            return
        del self.runners[runner_id]
        self.missing.pop(runner_id, None)
        self.announce(runner)
        logs.bind(
            step='endpoints',
            peer=runner.address,
            endpoint=runner_id,
            service=runner.service,
        ).info('endpoint gone')

    def log_missing(self, runner):
        """Write one line on an entry that may have lapsed."""
        logs.bind(
            step='endpoints',
            peer=runner.address,
            endpoint=runner.id,
            service=runner.service,
            kept=round(self.missing[runner.id].remaining(), 3),
        ).info('endpoint missing; kept for a while')

    def announce(self, runner):
        """Tell the listeners that one start of an endpoint is over."""
        for listener in self.listeners:
            listener(runner)

    def expire(self):
        """Drop the entries that are still missing after their grace."""
        expired = [
            runner_id
            for runner_id, until in self.missing.items()
            if until.expired()
        ]
        for runner_id in expired:
            self.remove(runner_id)

    def keep_only(self, ids, in_outage=False):
        """Remove every endpoint that a complete list does not name."""
        for runner_id in set(self.runners) - set(ids):
            self.remove(runner_id, in_outage)

    def accepts(self, runner):
        """Return whether this start of an endpoint may receive work."""
        self.expire()
        held = self.runners.get(runner.id)
        return held is not None and held.key == runner.key and not held.leaving

    def of_service(self, service):
        """Yield the endpoints of a service that are not leaving."""
        self.expire()
        for runner in self.runners.values():
            if runner.service == service and not runner.leaving:
                yield runner
