"""Conditional changes of declared records at the platform."""

import dataclasses
import enum

from celeryward import errors
from celeryward.objects import editing

MAX_WRITE_ATTEMPTS = 5


class Effect(enum.Enum):
    """What a change did."""

    CREATED = 'created'
    CHANGED = 'changed'
    UNCHANGED = 'unchanged'
    DELETED = 'deleted'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Effect of one change and the revision that it led to."""

    kind: str
    name: str
    effect: str
    revision: int
    differences: tuple[str, ...] = ()


class Editor:
    """Applies and deletes records; lost answers are resolved by reading.

    :param client: :class:`objects.client.ObjectClient`.
    :param int oldest_reader: oldest schema version still read somewhere.
    """

    def __init__(self, client, oldest_reader=1):
        self.client = client
        self.oldest_reader = oldest_reader

    async def find(self, kind, name):
        """Return the stored object, or None if it does not exist.

        :raises errors.PlatformUnavailable: if it can't be read.
        """
        found = await self.client.get(kind, name)
        if found.is_ok():
            return found.unwrap()
        if isinstance(found.unwrap_err(), errors.NotFound):
            return None
        raise found.unwrap_err()

    async def plan(self, declared):
        """Return stored object, object to write, and their differences.

        :raises errors.Conflict: if the declared revision is not the
            stored one.
        """
        stored = await self.find(declared.kind, declared.name)
        check_revision(declared, stored, self.client.peer)
        wanted = editing.build_update(stored, declared, self.oldest_reader)
        before = {} if stored is None else stored.spec
        lines = tuple(editing.differences(before, wanted.spec))
        return stored, wanted, lines

    async def apply(self, declared):
        """Write a declared record; return the :class:`Outcome`.

        :raises errors.Conflict: if someone else changed it meanwhile.
        :raises errors.WriteUnknown: if the outcome stays unknown.
        """
        stored, wanted, lines = await self.plan(declared)
        unchanged = stored is not None and not lines
        if unchanged and stored.schema_version == wanted.schema_version:
            return outcome_of(stored, Effect.UNCHANGED)
        written = await self.write(stored, wanted)
        effect = Effect.CREATED if stored is None else Effect.CHANGED
        return outcome_of(written, effect, lines)

    async def write(self, stored, wanted):
        """Write with the condition that nobody else did meanwhile."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            if stored is None:
                response = await self.client.create(wanted)
            else:
                response = await self.client.put(wanted, stored.revision)
            if response.is_ok():
                return response.unwrap()
            error = response.unwrap_err()
            if isinstance(error, errors.Conflict):
                raise conflict_error(error.current, wanted, error)
            if not isinstance(error, errors.WriteUnknown):
                raise error
            current = await self.find(wanted.kind, wanted.name)
            if write_succeeded(current, wanted, self.client.writer, stored):
                return current
            if revision_of(current) != revision_of(stored):
                raise conflict_error(current, wanted, error)
        raise error

    async def delete(self, kind, name, revision=0):
        """Delete a record; return the :class:`Outcome`.

        :param int revision: the revision that must be stored; 0 for the
            present one.
        :raises errors.NotFound: if the record does not exist.
        """
        stored = await self.find(kind, name)
        if stored is None:
            raise errors.NotFound(
                f'{kind}/{name} does not exist',
                step='delete',
                peer=self.client.peer,
            )
        wanted = dataclasses.replace(stored, revision=revision)
        check_revision(wanted, stored, self.client.peer)
        for _ in range(MAX_WRITE_ATTEMPTS):
            response = await self.client.delete(stored)
            if response.is_ok():
                return outcome_of(stored, Effect.DELETED)
            error = response.unwrap_err()
            if isinstance(error, errors.Conflict):
                if error.current is None:
                    return outcome_of(stored, Effect.DELETED)
                raise conflict_error(error.current, stored, error)
            if not isinstance(error, errors.WriteUnknown):
                raise error
            current = await self.find(kind, name)
            if current is None:
                return outcome_of(stored, Effect.DELETED)
            if current.revision != stored.revision:
                raise conflict_error(current, stored, error)
        raise error


def outcome_of(stored, effect, lines=()):
    """Return the :class:`Outcome` for a stored object."""
    return Outcome(
        stored.kind, stored.name, effect.value, stored.revision, lines
    )


def revision_of(stored):
    """Return the revision of an object, 0 if it does not exist."""
    return 0 if stored is None else stored.revision


def write_succeeded(current, wanted, writer, stored):
    """Return whether a write whose answer was lost did succeed."""
    return (
        current is not None
        and current.revision != revision_of(stored)
        and current.writer == writer
        and current.spec == wanted.spec
    )


def check_revision(declared, stored, peer):
    """Check the revision that a declared record states.

    :raises errors.Conflict: if it is not the stored one.
    """
    if declared.revision and declared.revision != revision_of(stored):
        cause = errors.Conflict(
            'other revision', step='compare', peer=peer, current=stored
        )
        raise conflict_error(stored, declared, cause)


def conflict_error(current, wanted, error):
    """Return a conflict that says who changed what."""
    name = f'{wanted.kind}/{wanted.name}'
    if current is None:
        message = f'{name}: deleted by someone else meanwhile; nothing done'
    else:
        lines = editing.differences(wanted.spec, current.spec)
        message = '\n'.join(
            (
                f'{name}: changed to revision {current.revision} by '
                f'{current.writer or "unknown"}; nothing done. '
                'Wanted (-) and stored (+) differ in:',
                *lines,
            )
        )
    return errors.Conflict(
        message, step='write record', peer=error.peer, current=current
    )
