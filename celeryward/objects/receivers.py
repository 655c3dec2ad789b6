"""Handlers that apply the objects read from the store, one for each kind.

An object that can't be read changes nothing but its own entry: it leaves the
configuration and the order that are known in force, and names no endpoint.
"""

import dataclasses

from celeryward import logs
from celeryward.raters import restored_orders


class ConfigurationReceiver:
    """Applies the configuration of routes and customers.

    :param holder: :class:`ingress.ConfigurationHolder`.
    :param freshness: :class:`freshness.Freshness`.
    :param translator: has ``read_configuration(stored)``, which returns ``Ok``
        with an :class:`ingress.Configuration`, or ``Err``.
    :param ignored: :class:`ignored.IgnoredEntries`.
    """

    def __init__(self, holder, freshness, translator, ignored):
        self.ignored = ignored
        self.holder = holder
        self.freshness = freshness
        self.translator = translator

    def on_list(self, objects):
        """Apply a complete list of the objects."""
        for stored in objects:
            self.apply(stored)

    on_restored_list = on_list

    def on_change(self, change):
        """Apply one change; a deletion leaves the newest version in force."""
        if change.type == 'put':
            self.apply(change.object)

    def apply(self, stored):
        """Apply one object, if its version is newer."""
        configuration = self.ignored.unwrap(
            stored, self.translator.read_configuration(stored)
        )
        if configuration is None:
            return
        for service in configuration.services.values():
            for fault in service.faults:
                self.ignored.record(stored.kind, stored.name, fault)
        if self.holder.accept(configuration):
            logs.bind(
                step='configuration',
                peer='store',
                version=configuration.version,
                revision=stored.revision,
                routes=len(configuration.routes),
                customers=len(configuration.customers),
                requires_key=configuration.requires_key,
            ).info('configuration in force')

    def on_confirmed(self, at):
        """Record that the current configuration was the newest at a time."""
        if self.holder.current is not None:
            self.freshness.confirm(at)


class EndpointReceiver:
    """Applies the list of endpoints.

    :param table: :class:`runners.RunnerTable`.
    :param translator: has ``read_runner(stored)``, which returns ``Ok`` with
        a :class:`runners.Runner`, or ``Err``.
    :param outages: :class:`outages.OutageTracker`, which says how long a
        missing entry is kept because it may have expired in an outage.
    :param freshness: :class:`freshness.Freshness` of the endpoints.
    :param ignored: :class:`ignored.IgnoredEntries`.
    """

    def __init__(self, table, translator, outages, freshness, ignored):
        self.ignored = ignored
        self.table = table
        self.translator = translator
        self.outages = outages
        self.freshness = freshness

    def on_list(self, objects, is_restored=False):
        """Apply a complete list of the entries."""
        for stored in objects:
            self.apply(stored, is_restored)
        names = {stored.name for stored in objects}
        self.table.retain_only(names, self.outages.keep_until())

    def on_restored_list(self, objects):
        """Apply the first list of a new generation.

        Its entries may be older than those that are known.
        """
        self.on_list(objects, is_restored=True)

    def on_change(self, change):
        """Apply one change."""
        if change.type == 'delete':
            self.table.remove(change.object.name, self.outages.keep_until())
        else:
            self.apply(change.object)

    def apply(self, stored, is_restored=False):
        """Apply one entry; one that can't be read removes its endpoint."""
        runner = self.ignored.unwrap(
            stored, self.translator.read_runner(stored)
        )
        if runner is None:
            self.table.remove(stored.name)
            return
        if runner.cold_seconds is None:
            self.ignored.record(
                stored.kind, stored.name, 'cold time can not be read'
            )
        known = self.table.runners.get(runner.id) if is_restored else None
        if known is not None and known.started_at > runner.started_at:
            # The entry of the later run is written again.
            return
        if known is not None and known.key == runner.key and known.leaving:
            runner = dataclasses.replace(runner, leaving=True)
        self.table.put(runner)

    def on_confirmed(self, at):
        """Record that the table of endpoints was up to date at a time."""
        self.freshness.confirm(at)


class DrainReceiver:
    """Applies operators' orders to drain failure domains.

    An order that can't be read is in force too: its name says what to drain.

    :param table: :class:`runners.RunnerTable`.
    :param translator: has ``read_drain(stored)``, which returns ``Ok`` with
        the name of a failure domain, or ``Err``.
    :param ignored: :class:`ignored.IgnoredEntries`.
    :param outages: :class:`outages.OutageTracker`, which says how long a
        drain is kept whose order the store has lost.
    """

    def __init__(self, table, translator, ignored, outages):
        self.outages = outages
        self.ignored = ignored
        self.table = table
        self.translator = translator

    def on_list(self, objects):
        """Apply a complete list of the orders."""
        listed = {self.read(stored) for stored in objects}
        for name in sorted(listed):
            self.begin(name)
        drains = self.table.drains
        for name in sorted(drains.drained - listed - set(drains.missing)):
            self.end(name)
        drains.list_was_read()

    def on_restored_list(self, objects):
        """Apply the first list of a new generation.

        Orders that it lacks may be written again.
        """
        listed = {self.read(stored) for stored in objects}
        for name in sorted(self.table.drains.drained - listed):
            until = self.outages.keep_until()
            self.table.drains.keep(name, until)
            logs.bind(
                step='drain',
                peer='store',
                failure_domain=name,
                kept=round(max(0.0, until.remaining()), 3),
            ).info('drain missing; kept for a while')
        self.on_list(objects)

    def on_change(self, change):
        """Apply one change."""
        if change.type == 'delete':
            self.end(change.object.name)
        else:
            self.begin(self.read(change.object))

    def read(self, stored):
        """Return the failure domain that an order names."""
        drain = self.translator.read_drain(stored)
        if drain.is_ok():
            return drain.unwrap()
        fault = f'only its name is used: {drain.unwrap_err().message}'
        self.ignored.record(stored.kind, stored.name, fault)
        return stored.name

    def begin(self, name):
        """Drain a failure domain."""
        if not self.table.drains.begin(name):
            return
        endpoints = self.count_endpoints(name)
        logger = logs.bind(
            step='drain',
            peer='store',
            failure_domain=name,
            endpoints=endpoints,
        )
        logger.warning('failure domain drained')
        if self.table.runners and not endpoints:
            logger.warning('drained failure domain has no endpoint')

    def end(self, name):
        """End the drain of a failure domain."""
        if self.table.drains.end(name):
            logs.bind(
                step='drain',
                peer='store',
                failure_domain=name,
                endpoints=self.count_endpoints(name),
            ).info('drain ended')

    def count_endpoints(self, name):
        """Return the number of listed endpoints in a failure domain."""
        return sum(
            runner.failure_domain == name
            for runner in self.table.runners.values()
        )

    def on_confirmed(self, at):
        """Record that the orders were up to date at a time."""
        self.table.drains.freshness.confirm(at)


class OrderReceiver:
    """Applies roll-out orders.

    :param releases: :class:`releases.Releases`.
    :param translator: has ``read_order(stored)``, which returns ``Ok`` with a
        :class:`rollout_orders.Order`, or ``Err``. An order has the name of
        its service.
    :param ignored: :class:`ignored.IgnoredEntries`.
    :param restored: :class:`restored_orders.RestoredOrders`.
    """

    def __init__(self, releases, translator, ignored, restored=None):
        self.restored = restored or restored_orders.RestoredOrders(
            releases, None
        )
        self.ignored = ignored
        self.releases = releases
        self.translator = translator

    def on_list(self, objects):
        """Apply a complete list of the orders."""
        listed = set()
        for stored in objects:
            order = self.read(stored)
            listed.add(stored.name if order is None else order.service)
            if order is not None:
                self.restored.accept_listed(order)
        for service in set(self.releases.progress) - listed:
            self.restored.remove_unlisted(service)

    on_restored_list = on_list

    def on_change(self, change):
        """Apply one change."""
        order = self.read(change.object)
        if change.type == 'delete':
            service = change.object.name if order is None else order.service
            self.restored.remove(service)
        elif order is not None:
            self.restored.accept(order)

    def read(self, stored):
        """Return the order in an object, or None."""
        return self.ignored.unwrap(stored, self.translator.read_order(stored))

    def on_confirmed(self, at):
        """Ignore confirmations: an order is in force until it is replaced."""
