"""Selection of the model version that a chat request runs on."""

import dataclasses

import result

from celeryward.callers import sessions
from celeryward.endpoints import candidates
from celeryward import errors


@dataclasses.dataclass(frozen=True, slots=True)
class VersionChoice:
    """The version that a chat request runs on, and its session.

    :param sessions.Session session: with the version added.
    :param str pinned_version: ``model@version`` to run on.
    :param bool changed: whether the session had to change its version.
    """

    session: sessions.Session
    pinned_version: str
    changed: bool = False


class VersionSelector:
    """Selects the version of one request, on each tier of a cascade.

    :param configuration: :class:`ConfigurationStore`.
    :param calls.Call call: the request.
    :param admission.ChatRoute route: the models that it may run on.
    :param sessions.Session session: the session as the caller stated it.
    :param configuration_age: function that returns the seconds since the
        configuration was last known to be the newest.
    """

    def __init__(self, configuration, call, route, session, configuration_age):
        self.configuration = configuration
        self.call = call
        self.route = route
        self.initial_session = session
        self.session = session
        self.configuration_age = configuration_age
        self.changed = False

    def select(self, model):
        """Return the :class:`VersionChoice` for a model.

        The session accumulates the versions of all selected tiers. A change
        is only reported for a version that the caller may know from an
        earlier answer.

        :raises errors.NotRun: if no permitted version is live.
        """
        choice = errors.unwrap(
            select_version(
                self.configuration.catalog(),
                self.call,
                self.route,
                model,
                self.session,
                self.configuration_age(),
            )
        )
        known = model in self.initial_session.versions or self.session.by_id
        self.changed |= choice.changed and known
        self.session = choice.session
        return choice


def select_version(current, call, route, model, session, age):
    """Return ``Ok(VersionChoice)`` for a request by the catalog in force.

    Runs again whenever the version of a request becomes unavailable, so it
    relies on nothing that was read when the request arrived.

    :param catalog.Catalog current: the catalog in force.
    :param calls.Call call: the request.
    :param admission.ChatRoute route: the models that it may run on.
    :param str model: name of the model, one of the route.
    :param sessions.Session session: the session as the caller stated it.
    :param float age: seconds since the configuration was last known to be
        the newest.
    :returns: or ``Err`` with an error of :class:`errors.NotRun`.
    """
    if route.pinned_version:
        return select_named_version(
            current, call, route.pinned_version, session, age
        )
    customer = current.customers.get(call.customer.name)
    if customer is None or not customer.allows_model(model):
        return _not_permitted(call, model)
    kept = usable_session_version(current, customer, model, session)
    if kept is not None:
        return result.Ok(VersionChoice(session, kept.name))
    chosen = sessions.initial_version(current, customer, model, session, age)
    if chosen is None:
        return _unavailable(model, 'no permitted version is live')
    changed = model in session.versions or (
        session.by_id and initial_version_withdrawn(current, model, session)
    )
    return result.Ok(
        VersionChoice(session.with_version(chosen), chosen.name, changed)
    )


def select_named_version(current, call, name, session, age):
    """Return ``Ok(VersionChoice)`` for the version that the caller names.

    The version is added to the session if it had none of the model.

    :returns: or ``Err`` if the version is not permitted or not available.
    """
    checked = candidates.check_version(current, call.customer.name, name)
    if checked.is_err():
        return checked
    version = checked.unwrap()
    kept = session.versions.get(version.model)
    stale = age > sessions.STALE_SECONDS
    if (
        stale
        and kept != version.version
        and sessions.is_unfinished(current, version)
    ):
        return _unavailable(
            name,
            'the configuration is too old to begin a session on a version '
            'that has not finished its roll-out',
        )
    session = session.with_version(version) if kept is None else session
    return result.Ok(VersionChoice(session, name))


def usable_session_version(current, customer, model, session):
    """Return the session's version if it may still run, or None."""
    kept = session.versions.get(model)
    if kept is None:
        return None
    name = f'{model}@{kept}'
    checked = candidates.check_version(current, customer.name, name)
    return checked.ok()


def initial_version_withdrawn(current, model, session):
    """Return whether the version that a session began on is withdrawn.

    Only for sessions by id. It is unknown whether the session began before
    the version was withdrawn. Therefore sessions that began later are also
    told of a change, until the record of the version is deleted.
    """
    first = next(
        sessions.preferred_versions(current, model, session, stale=True), ''
    )
    version = current.versions.get(f'{model}@{first}')
    return version is not None and not version.usable


def _not_permitted(call, model):
    return result.Err(
        errors.NotPermitted.of(call.customer.name, model, step='place')
    )


def _unavailable(name, reason):
    return result.Err(
        errors.VersionUnavailable(reason, step='place', peer=name)
    )
