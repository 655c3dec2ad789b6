"""On which version a chat request runs, and what its session keeps."""

import dataclasses

import result

from celeryward.callers import sessions
from celeryward.endpoints import candidates
from celeryward import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The session of a chat request and the version it runs on.

    :param str pinned: ``model@version`` to run on.
    :param bool changed: whether the session had to leave its version.
    """

    session: sessions.Session
    pinned: str
    changed: bool = False


def place(current, call, route, model, session):
    """Return ``Ok(Placement)`` of a request by the catalog in force.

    Runs again whenever the version of a request becomes unavailable, so it
    trusts nothing that was read when the request arrived.

    :param Route route: where the request was admitted to.
    :param Session session: the session as the caller's token states it.
    :returns: ``Err`` with an error of :class:`errors.NotRun`.
    """
    if route.pinned:
        checked = candidates.check_version(
            current, call.customer.name, route.pinned
        )
        return checked.map(lambda version: Placement(session, version.name))
    customer = current.customers.get(call.customer.name)
    if customer is None or not customer.allows_model(model):
        return _not_permitted(call, model)
    kept = session.versions.get(model)
    if kept is not None:
        name = f'{model}@{kept}'
        checked = candidates.check_version(current, customer.name, name)
        if checked.is_ok():
            return result.Ok(Placement(session, name))
    chosen = sessions.choose_version(current, customer, model, session.id)
    if chosen is None:
        return _none_live(model)
    moved = dataclasses.replace(
        session, versions={**session.versions, model: chosen.version}
    )
    return result.Ok(Placement(moved, chosen.name, kept is not None))


def _not_permitted(call, model):
    return result.Err(
        errors.NotPermitted(
            f'customer {call.customer.name} may not use {model}',
            step='place',
            peer=model,
        )
    )


def _none_live(model):
    return result.Err(
        errors.VersionUnavailable(
            'no permitted version is live', step='place', peer=model
        )
    )
