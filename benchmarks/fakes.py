"""Small fakes of the platform's client and of the transport to peers."""

import dataclasses

import result

from celeryward import errors


class FakePlatform:
    """Objects with revisions, behind the methods of ``ObjectClient``.

    Faults: ``unavailable`` fails each call; ``lose_answer`` is a function that
    tells for each write whether it takes effect but its answer is lost.
    """

    def __init__(self):
        self.peer = 'fake'
        self.objects = {}
        self.revision = 0
        self.unavailable = False
        self.lose_answer = lambda: False
        self.calls = 0

    async def get(self, kind, name):
        """Read one object."""
        self.calls += 1
        if self.unavailable:
            return result.Err(_error(errors.PlatformUnavailable))
        if (kind, name) not in self.objects:
            return result.Err(_error(errors.NotFound))
        return result.Ok(self.objects[kind, name])

    async def create(self, stored):
        """Store an object that must not exist yet."""
        return await self.write(stored, 0)

    async def put(self, stored, expected_revision):
        """Replace an object at its revision."""
        return await self.write(stored, expected_revision)

    async def write(self, stored, expected_revision):
        """Make one conditional write."""
        self.calls += 1
        if self.unavailable:
            return result.Err(_error(errors.PlatformUnavailable))
        current = self.objects.get(stored.key)
        if expected_revision != (current.revision if current else 0):
            return result.Err(_error(errors.Conflict, current=current))
        self.revision += 1
        stored = dataclasses.replace(stored, revision=self.revision)
        self.objects[stored.key] = stored
        if self.lose_answer():
            return result.Err(_error(errors.WriteUnknown))
        return result.Ok(stored)

    def of_kind(self, kind):
        """Return all objects of a kind."""
        return [each for each in self.objects.values() if each.kind == kind]


class FakePeers:
    """Transport of one owner to the replicas of all live hosts.

    :param dict replicas: by owner name; dead hosts are taken out of it.
    :param order_names: function that orders the names of the other hosts.
    :param record_holders: function that takes each bill and the hosts that
        hold it.
    """

    def __init__(
        self, owner, replicas, order_names=sorted, record_holders=None
    ):
        self.owner = owner
        self.replicas = replicas
        self.order_names = order_names
        self.record_holders = record_holders

    async def keep(self, bills, deadline):
        """Copy bills to 2 peers; return their names."""
        others = self.order_names(set(self.replicas) - {self.owner})
        if len(others) < 2:
            raise _error(errors.ConnectionFailed, sent=False)
        for name in others[:2]:
            errors.unwrap(self.replicas[name].keep(self.owner, bills))
        for bill in bills if self.record_holders else ():
            self.record_holders(bill, (self.owner, *others[:2]))
        return tuple(others[:2])

    async def release(self, bill_ids):
        """Tell every host that the platform holds the bills."""
        for held in list(self.replicas.values()):
            held.release(self.owner, bill_ids)


def _error(kind, **fields):
    return kind('fault of the fake', step='fake', peer='fake', **fields)
