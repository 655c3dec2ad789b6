"""The endpoints that are registered in the store."""

import dataclasses

from celeryward.endpoints import departures
from celeryward.endpoints import drains
from celeryward import logs


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """One run of an endpoint's process, as it is registered in the store.

    Routers use it where daemons use :class:`catalog.Endpoint`.

    :param str id: id of the endpoint. A restarted process has another id or
        a later ``started_at``.
    :param str software: version of the endpoint's software.
    :param int slots: requests that it processes concurrently.
    :param bool leaving: whether it drains and gets no new work.
    :param tuple models: names of the models that it serves.
    :param float started_at: start of the process in UTC seconds.
    :param float | None cold_seconds: for how long it stays cold, as of when
        the entry was written; None if that can't be read. It differs in each
        entry of the same run, so that it is not compared.
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
    cold_seconds: float | None = dataclasses.field(default=0.0, compare=False)

    @property
    def address(self):
        """The address as ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def key(self):
        """Unique key of this run, also where an id is reused."""
        return (self.id, self.started_at)


class RunnerTable:
    """All registered endpoints, by id.

    ``missing`` holds the deadline of each endpoint whose entry may have
    expired only because of an outage of the store: until then it is kept.
    ``initial_software`` holds the software version that was seen first for
    each service. ``departures`` holds what endpoints announce themselves,
    ``drains`` the failure domains that operators have drained.
    ``listeners`` are called with a :class:`Runner` when its run is over,
    ``entry_listeners`` with each entry and the one before, None for none,
    ``announcement_listeners`` with a :class:`departures.Announcement` that an
    answer to this router contained.
    """

    def __init__(self):
        self.runners = {}
        self.missing = {}
        self.initial_software = {}
        self.departures = departures.Departures()
        self.drains = drains.FailureDomainDrains()
        self.listeners = []
        self.entry_listeners = []
        self.announcement_listeners = []

    def put(self, runner):
        """Add or replace an endpoint."""
        previous = self.runners.get(runner.id)
        self.runners[runner.id] = runner
        self.missing.pop(runner.id, None)
        self.departures.entry_listed(runner)
        self.initial_software.setdefault(runner.service, runner.software)
        if previous != runner:
            bind_logger(
                runner, software=runner.software, leaving=runner.leaving
            ).info('endpoint listed')
        if previous is not None and previous.key != runner.key:
            self.notify_listeners(previous)
        for listener in self.entry_listeners:
            listener(runner, previous)

    def remove(self, runner_id, keep_until=None):
        """Remove an endpoint.

        :param deadlines.Deadline keep_until: time until which it is kept,
            unless it is leaving; None to remove it at once.
        """
        runner = self.runners.get(runner_id)
        if runner is None:
            return
        kept_if_missing = not self.is_leaving(runner)
        if kept_if_missing and keep_until and not keep_until.expired():
            if runner_id not in self.missing:
                self.missing[runner_id] = keep_until
                kept = round(keep_until.remaining(), 3)
                bind_logger(runner, kept=kept).info(
                    'endpoint missing; kept for a while'
                )
            return
        del self.runners[runner_id]
        self.missing.pop(runner_id, None)
        self.departures.entry_removed(runner_id)
        self.notify_listeners(runner)
        bind_logger(runner).info('endpoint gone')

    def notify_listeners(self, runner):
        """Notify the listeners that a run of an endpoint is over."""
        for listener in self.listeners:
            listener(runner)

    def remove_expired(self):
        """Remove the missing endpoints whose deadline has expired."""
        expired = [
            runner_id
            for runner_id, until in self.missing.items()
            if until.expired()
        ]
        for runner_id in expired:
            self.remove(runner_id)

    def retain_only(self, ids, keep_until=None):
        """Remove every endpoint that is absent from a complete list.

        :param deadlines.Deadline keep_until: as for :meth:`remove`.
        """
        for runner_id in set(self.runners) - set(ids):
            self.remove(runner_id, keep_until)

    def is_available(self, runner):
        """Return whether this run is registered and may receive work."""
        self.remove_expired()
        registered = self.runners.get(runner.id)
        return (
            registered is not None
            and registered.key == runner.key
            and not self.is_leaving(registered)
        )

    def may_send(self, runner):
        """Return whether a request may be sent to this run now."""
        return self.is_available(runner) and not self.drains.is_drained(
            runner.failure_domain
        )

    def of_service(self, service):
        """Yield the endpoints of a service that are not leaving."""
        self.remove_expired()
        for runner in self.runners.values():
            if runner.service == service and not self.is_leaving(runner):
                yield runner

    def has_service(self, service):
        """Return whether a service has endpoints, also leaving ones."""
        return any(
            runner.service == service for runner in self.runners.values()
        )

    def is_leaving(self, runner):
        """Return whether the list or the endpoint says that it leaves."""
        return runner.leaving or self.departures.includes(runner)

    def announce_departure(self, runner, request_id):
        """Record that an endpoint has announced that it leaves.

        :param str request_id: the request whose answer says so.
        """
        listed = runner.id in self.runners
        if self.departures.announce(runner.id, runner.started_at, listed):
            bind_logger(runner, announced_to=request_id).info(
                'endpoint announced that it leaves'
            )
            announcement = departures.Announcement(
                runner.id, runner.started_at
            )
            for listener in self.announcement_listeners:
                listener(announcement)

    def accept_announcement(self, announcement):
        """Apply an announcement that another router has received.

        It counts only for the run that is listed here.

        :param departures.Announcement announcement: what it has received.
        :returns: whether the departure was not known before.
        """
        runner = self.runners.get(announcement.endpoint)
        if runner is None or runner.started_at != announcement.started_at:
            return False
        if not self.departures.announce(runner.id, runner.started_at, True):
            return False
        bind_logger(runner, announced_to='another router').info(
            'endpoint announced that it leaves'
        )
        return True

    def available_addresses(self):
        """Return the addresses of the endpoints that may receive work."""
        self.remove_expired()
        return frozenset(
            runner.address
            for runner in self.runners.values()
            if not self.is_leaving(runner)
            and not self.drains.is_drained(runner.failure_domain)
        )


def bind_logger(runner, **fields):
    """Return a logger with the fields of an endpoint bound."""
    return logs.bind(
        step='endpoints',
        peer=runner.address,
        endpoint=runner.id,
        service=runner.service,
        **fields,
    )
