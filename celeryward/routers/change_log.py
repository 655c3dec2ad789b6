"""The objects and last changes of one kind, kept for other routers."""

import collections

import curio

from celeryward import deadlines

MAX_CHANGES = 400


class ChangeLog:
    """The objects of one kind, and its last changes by revision.

    :ivar dict objects: all objects at the revision, by name.
    :ivar int revision: the log is complete up to this revision.
    :ivar int floor: the log has only changes after this revision; initially 0,
        with which it covers nothing.
    :ivar int | None generation: generation of the store's data.
    """

    def __init__(self):
        self.revision = 0
        self.floor = 0
        self.generation = None
        self.changes = collections.deque()
        self.objects = {}
        self.changed = curio.Condition()

    async def reset(self, revision, objects=(), generation=None):
        """Empty the log after all objects were read at a revision."""
        self.changes.clear()
        self.objects = {stored.name: stored for stored in objects}
        self.floor = self.revision = revision
        self.generation = generation
        await self.notify()

    async def extend(self, changes, revision):
        """Append the changes up to a revision; ignore an older revision."""
        if revision <= self.revision:
            return
        for change in changes:
            self.apply(change)
        self.changes.extend(changes)
        while len(self.changes) > MAX_CHANGES:
            self.floor = self.changes.popleft().revision
        self.revision = revision
        if changes:
            await self.notify()

    def apply(self, change):
        """Apply one change to the objects."""
        if change.type == 'delete':
            self.objects.pop(change.object.name, None)
        else:
            self.objects[change.object.name] = change.object

    async def notify(self):
        """Wake the tasks that wait for a change."""
        async with self.changed:
            await self.changed.notify_all()

    def covers(self, since):
        """Return whether the log has all changes after a revision."""
        return self.floor <= since and self.floor > 0

    def changes_after(self, since):
        """Return the changes after a revision."""
        return tuple(
            change for change in self.changes if change.revision > since
        )

    async def wait_for_changes(self, since, seconds):
        """Return the changes after a revision, once there is one.

        The wait ends early if the log begins a new generation.

        :param float seconds: longest wait, after which none are returned.
        """
        generation = self.generation
        deadline = deadlines.Deadline.after(seconds)
        async with curio.ignore_after(deadline.remaining()):
            async with self.changed:
                while (
                    self.generation == generation
                    and self.covers(since)
                    and not self.changes_after(since)
                ):
                    await self.changed.wait()
        return self.changes_after(since)
