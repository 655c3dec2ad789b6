"""Sessions keep their version: signed tokens held by the caller."""

import dataclasses

import itsdangerous
import xxhash

from celeryward import catalog

TOKEN_SALT = 'celeryward.session'
HASH_RANGE = 2**64


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A session and the versions it keeps.

    :param str id: id of the session.
    :param dict versions: version of each model that the session uses.
    """

    id: str
    versions: dict[str, str] = dataclasses.field(default_factory=dict)


class SessionSigner:
    """Signs and verifies session tokens.

    :param list keys: the last one signs, all of them verify, so that keys
        can be rotated without ending sessions.
    """

    def __init__(self, keys):
        self.serializer = itsdangerous.URLSafeSerializer(keys, salt=TOKEN_SALT)

    def sign(self, session):
        """Return the token of a session."""
        return self.serializer.dumps({'i': session.id, 'v': session.versions})

    def verify(self, token):
        """Return the :class:`Session`, or None for an invalid token."""
        try:
            fields = self.serializer.loads(token)
            return Session(fields['i'], dict(fields['v']))
        except (itsdangerous.BadData, KeyError, TypeError, ValueError):
            return None


def choose_version(current, customer, model, session_id):
    """Return the version on which a new session begins, or None.

    During a roll-out the share of new sessions on the new version follows
    the roll-out; otherwise the newest permitted live version is used.
    """
    usable = [
        version
        for version in current.versions_by_model.get(model, ())
        if customer.allows(version)
        and version.state is catalog.VersionState.LIVE
    ]
    if not usable:
        return None
    by_version = {version.version: version for version in usable}
    rollout = current.rollout_by_model.get(model)
    if rollout is None:
        return usable[-1]
    if in_share(session_id, rollout):
        preferred = by_version.get(rollout.to_version)
    else:
        preferred = by_version.get(rollout.from_version)
    return preferred or usable[-1]


def in_share(session_id, rollout):
    """Return whether a session id falls in the share of a roll-out."""
    if rollout.state is catalog.RolloutState.HALTED:
        return False
    if rollout.state is catalog.RolloutState.FINISHED:
        return True
    key = f'{rollout.name}:{session_id}'.encode()
    digest = xxhash.xxh3_64_intdigest(key)
    return digest / HASH_RANGE < rollout.share
