"""Which endpoints there are, as the store lists them."""

import dataclasses

from celeryward import logs


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

    ``missing`` holds until when an endpoint is used whose entry may have
    lapsed in an outage of the store.
    """

    def __init__(self):
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
            log_line(
                runner, software=runner.software, leaving=runner.leaving
            ).info('endpoint listed')
        if before is not None and before.key != runner.key:
            self.announce(before)

    def remove(self, runner_id, keep_until=None):
        """Drop an endpoint.

        :param Deadline keep_until: until when it is used, unless it is known
            to leave; None if it is gone for certain.
        """
        runner = self.runners.get(runner_id)
        if runner is None:
            return
        if keep_until and not (keep_until.expired() or runner.leaving):
            if runner_id not in self.missing:
                self.missing[runner_id] = keep_until
                kept = round(keep_until.remaining(), 3)
                log_line(runner, kept=kept).info(
                    'endpoint missing; kept for a while'
                )
            return
        del self.runners[runner_id]
        self.missing.pop(runner_id, None)
        self.announce(runner)
        log_line(runner).info('endpoint gone')

    def announce(self, runner):
        """Tell the listeners that one start of an endpoint is over."""
        for listener in self.listeners:
            listener(runner)

    def expire(self):
        """Drop the entries that are still missing."""
        expired = [
            runner_id
            for runner_id, until in self.missing.items()
            if until.expired()
        ]
        for runner_id in expired:
            self.remove(runner_id)

    def keep_only(self, ids, keep_until=None):
        """Remove every endpoint that a complete list does not name.

        :param Deadline keep_until: as for :meth:`remove`.
        """
        for runner_id in set(self.runners) - set(ids):
            self.remove(runner_id, keep_until)

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


def log_line(runner, **fields):
    """Return a logger for a line on an endpoint's entry."""
    return logs.bind(
        step='endpoints',
        peer=runner.address,
        endpoint=runner.id,
        service=runner.service,
        **fields,
    )
