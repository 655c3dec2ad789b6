"""Session affinity to model versions, by signed tokens.

The caller stores the session state. If it returns the token of each answer,
its session stays on the same versions at every daemon. If it sends only a
session id of its own, the version follows from the start of the session:
the one whose roll-out had finished by then. If the id doesn't contain the
start, the session may be of any age and uses the oldest version that is not
withdrawn.
"""

import dataclasses
import uuid

import itsdangerous
import xxhash

from celeryward import catalog

TOKEN_SALT = 'celeryward.session'
HASH_RANGE = 2**64
# The header lines of a request may take 64 KiB; a token of 26 models with
# names of 20 characters takes less than 2,000 bytes.
MAX_TOKEN_BYTES = 4_096
MAX_ID_CHARACTERS = 128
# No daemon knows when a session with an opaque id began, so any finished
# roll-out may have happened during the session.
UNKNOWN_START = 0.0
# A finished roll-out is in effect everywhere within 10 s (invariant I10 of
# docs/design.md); the other 5 s allow for clock skew. Sessions by id that
# begin in this interval use the old version, because some daemons don't know
# yet that the roll-out has finished.
ROLLOUT_PROPAGATION_SECONDS = 15.0
# With an older configuration, no session begins on a version that has not
# finished its roll-out, because the version may have been withdrawn since.
STALE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A session and the version of each model that it uses.

    :param str id: id of the session.
    :param dict versions: version by model name.
    :param float started_at: UTC seconds of its start, 0 if unknown.
    :param str customer: name of the customer that it belongs to.
    :param bool by_id: whether the caller sent a session id and no valid
        token, so that the versions used before are unknown.
    """

    id: str
    versions: dict[str, str] = dataclasses.field(default_factory=dict)
    started_at: float = 0.0
    customer: str = ''
    by_id: bool = False

    def with_version(self, version):
        """Return a copy that uses a :class:`catalog.ModelVersion`."""
        versions = {**self.versions, version.model: version.version}
        return dataclasses.replace(self, versions=versions)


class SessionSigner:
    """Signs and verifies session tokens.

    :param list keys: the last one signs, all of them verify. To rotate, add
        the new key in front of the last one on every daemon, then move it
        to the end, then remove the old one after the longest session.
    """

    def __init__(self, keys):
        self.serializer = itsdangerous.URLSafeSerializer(keys, salt=TOKEN_SALT)

    def sign(self, session):
        """Return the signed token of a session.

        If the token would be larger than a daemon accepts, the models that
        the session used first are omitted.
        """
        kept = list(session.versions.items())
        token = self.serialize(session, kept)
        while len(token) > MAX_TOKEN_BYTES and kept:
            kept.pop(0)
            token = self.serialize(session, kept)
        return token

    def serialize(self, session, versions):
        """Return a token that contains the given versions only."""
        return self.serializer.dumps(
            {
                'i': session.id,
                'v': dict(versions),
                's': int(session.started_at),
                'c': session.customer,
            }
        )

    def verify(self, token):
        """Return the :class:`Session` of a token, None if it is invalid."""
        if not 0 < len(token) <= MAX_TOKEN_BYTES:
            return None
        try:
            fields = self.serializer.loads(token)
            return Session(
                fields['i'],
                dict(fields['v']),
                float(fields['s']),
                fields['c'],
            )
        except (itsdangerous.BadData, KeyError, TypeError, ValueError):
            return None


def open_session(signer, call, now):
    """Return the :class:`Session` that a call belongs to.

    A token that is forged, oversized or another customer's is ignored. A
    call with neither token nor session id begins a session.

    :param float now: UTC seconds.
    """
    customer = call.customer.name
    session = signer.verify(call.session_token)
    if session is not None and session.customer == customer:
        return session
    if not call.session_id:
        return Session(call.request_id, started_at=now, customer=customer)
    started_at = uuid7_timestamp(call.session_id, now)
    if started_at is None:
        started_at = UNKNOWN_START
    session_id = bounded_id(call.session_id)
    return Session(
        session_id, started_at=started_at, customer=customer, by_id=True
    )


def bounded_id(session_id):
    """Return a caller's session id, or its digest if it is too long."""
    if len(session_id) <= MAX_ID_CHARACTERS:
        return session_id
    return xxhash.xxh3_128_hexdigest(session_id.encode('utf-8'))


def uuid7_timestamp(session_id, now):
    """Return the timestamp of a UUID of version 7 in UTC seconds, or None.

    :param float now: UTC seconds; a timestamp further in the future than
        clock skew explains is ignored.
    """
    try:
        parsed = uuid.UUID(session_id)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    stamp = (parsed.int >> 80) / 1000
    return stamp if stamp <= now + ROLLOUT_PROPAGATION_SECONDS else None


def unfinished_rollout(current, model):
    """Return a roll-out of a model that has not finished, or None.

    A running roll-out takes precedence over a halted one.
    """
    found = [
        rollout
        for rollout in current.rollouts_by_model.get(model, ())
        if rollout.state is not catalog.RolloutState.FINISHED
    ]
    halted = catalog.RolloutState.HALTED
    return min(found, key=lambda entry: entry.state is halted, default=None)


def finished_rollouts(current, model):
    """Return the finished roll-outs of a model in chronological order."""
    return tuple(
        rollout
        for rollout in current.rollouts_by_model.get(model, ())
        if rollout.state is catalog.RolloutState.FINISHED
    )


def rolled_out_versions(current, model):
    """Yield the versions that have finished their roll-out, best first.

    The version that an unfinished roll-out replaces comes first, then those
    of finished roll-outs from the latest to the earliest, then the versions
    without a roll-out, the longest live first. Ties are broken by a digest
    of the name, so that the order of names gives no preference.
    """
    unfinished = unfinished_rollout(current, model)
    if unfinished is not None:
        yield unfinished.from_version
    for rollout in reversed(finished_rollouts(current, model)):
        yield rollout.to_version
        yield rollout.from_version
    targets = {
        rollout.to_version
        for rollout in current.rollouts_by_model.get(model, ())
    }
    others = [
        version
        for version in current.versions_by_model.get(model, ())
        if version.version not in targets
    ]
    for version in sorted(others, key=_seniority):
        yield version.version


def _seniority(version):
    return version.live_since, xxhash.xxh3_64_intdigest(version.name.encode())


def versions_at_start(current, model, started_at):
    """Yield the versions that roll-outs replaced after a time, oldest first.

    The first one was the rolled-out version at that time; the others follow
    in case that it is withdrawn.

    :param float started_at: UTC seconds.
    """
    for rollout in finished_rollouts(current, model):
        if started_at < rollout.finished_at + ROLLOUT_PROPAGATION_SECONDS:
            yield rollout.from_version


def preferred_versions(current, model, session, stale):
    """Yield the numbers of versions for a new session, best first.

    :param bool stale: whether the configuration is too old to begin a
        session on a version that has not finished its roll-out.
    """
    rollout = unfinished_rollout(current, model)
    if rollout is not None:
        stale |= rollout.state is catalog.RolloutState.HALTED
    if session.by_id:
        yield from versions_at_start(current, model, session.started_at)
    elif rollout is not None and not stale and in_share(session.id, rollout):
        yield rollout.to_version
    halted = rollout.to_version if rollout is not None else None
    for version in rolled_out_versions(current, model):
        if version != halted:
            yield version
    if rollout is not None and not stale:
        # Using the only version left is better than refusing the session.
        yield rollout.to_version


def is_unfinished(current, version):
    """Return whether a version has not finished its roll-out."""
    if version.state is catalog.VersionState.STAGED:
        return True
    finished = [
        rollout.state is catalog.RolloutState.FINISHED
        for rollout in current.rollouts_by_model.get(version.model, ())
        if rollout.to_version == version.version
    ]
    return bool(finished) and not any(finished)


def initial_version(current, customer, model, session, age):
    """Return the :class:`catalog.ModelVersion` of a new session, or None.

    :param Customer customer: as configured now.
    :param float age: seconds since the configuration was last known to be
        the newest.
    """
    stale = age > STALE_SECONDS
    for number in preferred_versions(current, model, session, stale):
        version = current.versions.get(f'{model}@{number}')
        if version is None or not customer.allows(version):
            continue
        if version.state is catalog.VersionState.LIVE:
            return version
    return None


def in_share(session_id, rollout):
    """Return whether the share of a roll-out includes a session.

    The hash of roll-out and session id decides, so that all daemons agree.
    """
    key = f'{rollout.name}:{session_id}'.encode('utf-8')
    digest = xxhash.xxh3_64_intdigest(key)
    return digest / HASH_RANGE < rollout.share
