"""Sessions keep their version: signed tokens held by the caller.

A caller that returns the token of each answer keeps its versions on every
daemon. A caller that sends only its own session id is placed by the start
of the session: it uses the version whose roll-out had finished by then. If
the id doesn't contain a start, the session may be of any age and uses the
oldest version that is not withdrawn.
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
# No daemon knows when a session with an opaque id started_at, so that each
# finished roll-out may have happened while it ran.
UNKNOWN_START = 0.0
# A finished roll-out is in effect everywhere within 10 s (I10); the rest is
# for clocks that differ. Sessions by id that begin in this interval use the
# old version, because some daemons don't know the end of the roll-out yet.
ROLLOUT_PROPAGATION_SECONDS = 15.0
STALE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A session and the versions it keeps.

    :param str id: id of the session.
    :param dict versions: version of each model that the session uses.
    :param float started_at: UTC seconds of its start, 0 if unknown.
    :param str customer: name of the customer that it belongs to.
    :param bool by_id: whether the caller's own id is all that is known.
    """

    id: str
    versions: dict[str, str] = dataclasses.field(default_factory=dict)
    started_at: float = 0.0
    customer: str = ''
    by_id: bool = False

    def with_version(self, version):
        """Return the session that keeps a :class:`catalog.ModelVersion`."""
        versions = {**self.versions, version.model: version.version}
        return dataclasses.replace(self, versions=versions)


class SessionSigner:
    """Signs and verifies session tokens.

    :param list keys: the last one signs, all of them verify. A new key is
        first added in front of the last one on every daemon, then moved to
        the end, and the old one is removed after the longest session.
    """

    def __init__(self, keys):
        self.serializer = itsdangerous.URLSafeSerializer(keys, salt=TOKEN_SALT)

    def sign(self, session):
        """Return the token of a session.

        The models that the session used first are left out if the token
        would be larger than a daemon accepts.
        """
        kept = list(session.versions.items())
        token = self.serialize(session, kept)
        while len(token) > MAX_TOKEN_BYTES and kept:
            kept.pop(0)
            token = self.serialize(session, kept)
        return token

    def serialize(self, session, versions):
        """Return the token with the stated versions."""
        return self.serializer.dumps(
            {
                'i': session.id,
                'v': dict(versions),
                's': int(session.started_at),
                'c': session.customer,
            }
        )

    def verify(self, token):
        """Return the :class:`Session`, or None for an invalid token."""
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
    """Return the :class:`Session` of a call.

    A token that is forged, oversized or another customer's is ignored.

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
    """Return a caller's id, or its digest if it is long."""
    if len(session_id) <= MAX_ID_CHARACTERS:
        return session_id
    return xxhash.xxh3_128_hexdigest(session_id.encode('utf-8'))


def uuid7_timestamp(session_id, now):
    """Return the start that a UUID of version 7 contains, or None.

    :param float now: UTC seconds; a start in the future is not believed.
    """
    try:
        parsed = uuid.UUID(session_id)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    started_at = (parsed.int >> 80) / 1000
    return (
        started_at if started_at <= now + ROLLOUT_PROPAGATION_SECONDS else None
    )


def unfinished_rollout(current, model):
    """Return the roll-out of a model that has not finished, or None.

    A running one goes before a halted one.
    """
    found = [
        rollout
        for rollout in current.rollouts_by_model.get(model, ())
        if rollout.state is not catalog.RolloutState.FINISHED
    ]
    halted = catalog.RolloutState.HALTED
    return min(found, key=lambda entry: entry.state is halted, default=None)


def finished_rollouts(current, model):
    """Return the finished roll-outs of a model, the last one at the end."""
    return tuple(
        rollout
        for rollout in current.rollouts_by_model.get(model, ())
        if rollout.state is catalog.RolloutState.FINISHED
    )


def rolled_out_versions(current, model):
    """Yield the versions that have finished their roll-out, best first.

    The version that a roll-out under way leaves comes first, then those of
    finished roll-outs from the last to the first, then the versions that
    never took part in one, the longest live first. A digest of the name
    breaks a tie, so that names have no order of preference.
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
    """Yield the versions that roll-outs left after a time, oldest first.

    The first one was the settled version at that time; the others follow
    in case that it is withdrawn.
    """
    for rollout in finished_rollouts(current, model):
        if started_at < rollout.finished_at + ROLLOUT_PROPAGATION_SECONDS:
            yield rollout.from_version


def preferred_versions(current, model, session, stale):
    """Yield the versions for a session that begins, best first.

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
        # The only version left; better than to refuse the session.
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
    """Return the version on which a session begins, or None.

    :param Customer customer: as configured now.
    :param float age: seconds since the configuration was known to be new.
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
    """Return whether a session id falls in the share of a roll-out."""
    key = f'{rollout.name}:{session_id}'.encode('utf-8')
    digest = xxhash.xxh3_64_intdigest(key)
    return digest / HASH_RANGE < rollout.share
