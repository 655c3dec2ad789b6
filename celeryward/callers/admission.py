"""Authorization of a customer for the models or service that it names."""

import dataclasses

import result

from celeryward import errors


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRoute:
    """The models that an admitted chat request may run on.

    :param tuple models: one model, or the tiers of a cascade.
    :param str pinned_version: ``model@version`` that the caller names, or
        empty.
    :param str cascade: name of the cascade, or empty.
    """

    models: tuple[str, ...]
    pinned_version: str = ''
    cascade: str = ''


def route_chat(current, customer, target):
    """Return ``Ok(ChatRoute)`` for the target that a caller names.

    Tiers of a cascade that the customer may not use are left out.

    :param Catalog current: the catalog in force.
    :param str target: name of a cascade or a model, or ``model@version``.
    :returns: or ``Err`` with ``UnknownTarget`` or ``NotPermitted``.
    """
    if target in current.cascades:
        tiers = tuple(
            model
            for model in current.cascades[target].tiers
            if customer.allows_model(model)
        )
        if not tiers:
            return _not_permitted(customer, target)
        return result.Ok(ChatRoute(tiers, cascade=target))
    model, _, version = target.partition('@')
    if model not in current.versions_by_model:
        return _unknown(target)
    if version and target not in current.versions:
        return _unknown(target)
    if version and not customer.allows(current.versions[target]):
        return _not_permitted(customer, target)
    if not customer.allows_model(model):
        return _not_permitted(customer, target)
    return result.Ok(
        ChatRoute((model,), pinned_version=target if version else '')
    )


def route_service(current, customer, name):
    """Return ``Ok(Service)`` for a service that the customer may call.

    :returns: or ``Err`` with ``UnknownTarget`` or ``NotPermitted``.
    """
    service = current.services.get(name)
    if service is None:
        return _unknown(name)
    if name not in customer.services:
        return _not_permitted(customer, name)
    return result.Ok(service)


def _unknown(target):
    return result.Err(
        errors.UnknownTarget(
            f'no model or service is named {target[:80]!r}',
            step='route',
            peer=target,
        )
    )


def _not_permitted(customer, target):
    return result.Err(
        errors.NotPermitted.of(customer.name, target, step='route')
    )
