"""Acts on the evidence of requests that crash endpoints.

Requests of a culprit that wait at endpoints are ended before they begin there.
"""

from celeryward.endpoints import crashes
from celeryward.endpoints import harmful_requests
from celeryward import logs


class HarmfulRequestGuard:
    """Adds evidence, and ends the requests that it accuses.

    ``listeners`` are coroutine functions that are called with the evidence
    that was new, and with the name of the host that it came from.

    :param harmful_requests.HarmfulRequests harmful: the evidence.
    :param forwarder: :class:`forwarding.Forwarder`.
    """

    def __init__(self, harmful, forwarder):
        self.harmful = harmful
        self.forwarder = forwarder
        self.listeners = []
        self.logged = {}

    async def record(self, *evidence, origin=''):
        """Add evidence that this host or others have seen.

        :param str origin: name of the host that it came from; empty for this
            one.
        """
        changes = [each for each in evidence if self.harmful.record(each)]
        if not changes:
            return
        services = {each.service for each in changes}
        for service in services:
            self.log_culprits(service)
        has_crash = any(isinstance(each, crashes.Crash) for each in changes)
        if has_crash and any(map(self.harmful.culprits, services)):
            await self.forwarder.abort_harmful(self.is_refused)
        for listener in self.listeners:
            await listener(changes, origin)

    async def record_answer(self, service, traits):
        """Clear the traits of an answer that is whole, or goes on."""
        cleared = self.harmful.clearances(service, traits)
        if cleared:
            await self.record(*cleared)

    async def announce_trial(self, service, culprit):
        """Tell the listeners that a trial has begun here."""
        trial = self.harmful.last_trial(service, culprit)
        for listener in self.listeners:
            await listener((trial,), '')

    def is_refused(self, service, traits):
        """Return whether requests with these traits are refused now."""
        return self.harmful.find(service, traits) is not None

    def log_culprits(self, service):
        """Log what is refused from now on, and what is allowed again."""
        before = self.logged.get(service, frozenset())
        found = {each.name: each for each in self.harmful.culprits(service)}
        for name in found.keys() - before:
            logs.bind(
                step='crashes',
                peer=service,
                service=service,
                parts=name,
                crashes=found[name].crashes,
            ).warning('requests that crash endpoints are refused')
        for name in before - found.keys():
            logs.bind(
                step='crashes', peer=service, service=service, parts=name
            ).info('requests are allowed again')
        self.logged[service] = frozenset(found)

    def culprit_count(self):
        """Return how many combinations of traits are refused."""
        return sum(map(len, self.logged.values()))


def make_guard(rank, forwarder):
    """Return a guard without evidence; ``rank`` as for its evidence."""
    harmful = harmful_requests.HarmfulRequests(rank)
    return HarmfulRequestGuard(harmful, forwarder)
