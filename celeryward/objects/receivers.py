"""Take over what followers read, one receiver for each kind."""

from celeryward import logs


class ConfigurationReceiver:
    """Takes over the configuration of routes and customers.

    :param holder: :class:`ingress.ConfigurationHolder`.
    :param freshness: :class:`freshness.Freshness`.
    :param translator: has ``read_configuration(stored)``, which returns an
        :class:`ingress.Configuration`, or None if it can't be read.
    """

    def __init__(self, holder, freshness, translator):
        self.holder = holder
        self.freshness = freshness
        self.translator = translator

    def listed(self, objects):
        """Take over all objects of the kind."""
        for stored in objects:
            self.take(stored)

    def changed(self, change):
        """Take over one change; a deletion leaves the newest in force."""
        if change.type == 'put':
            self.take(change.object)

    def take(self, stored):
        """Take over one object, if it is newer."""
        configuration = self.translator.read_configuration(stored)
        if configuration is None:
            return
        if self.holder.accept(configuration):
            logs.bind(
                step='configuration',
                peer='store',
                version=configuration.version,
                revision=stored.revision,
                routes=len(configuration.routes),
                customers=len(configuration.holders),
            ).info('configuration in force')

    def confirmed(self, at):
        """Note that the configuration held was the newest at a time."""
        if self.holder.current is not None:
            self.freshness.confirm(at)


class EndpointReceiver:
    """Takes over the list of endpoints.

    :param table: :class:`runners.RunnerTable`.
    :param translator: has ``read_runner(stored)``, which returns a
        :class:`runners.Runner`, or None if the entry names none.
    :param outages: :class:`outages.Outages`, which tells whether entries may
        have lapsed.
    :param freshness: :class:`freshness.Freshness` of the endpoints.
    """

    def __init__(self, table, translator, outages, freshness):
        self.table = table
        self.translator = translator
        self.outages = outages
        self.freshness = freshness

    def listed(self, objects):
        """Take over a complete list."""
        for stored in objects:
            self.take(stored)
        names = {stored.name for stored in objects}
        self.table.retain_only(names, self.outages.keep_until())

    def changed(self, change):
        """Take over one change."""
        if change.type == 'delete':
            self.table.remove(change.object.name, self.outages.keep_until())
        else:
            self.take(change.object)

    def take(self, stored):
        """Take over one entry; an unreadable one names no endpoint."""
        runner = self.translator.read_runner(stored)
        if runner is None:
            self.table.remove(stored.name)
        else:
            self.table.put(runner)

    def confirmed(self, at):
        """Note that the endpoints held were all there were at a time."""
        self.freshness.confirm(at)


class OrderReceiver:
    """Takes over orders of roll-outs.

    :param releases: :class:`releases.Releases`.
    :param translator: has ``read_order(stored)``, which returns a
        :class:`releases.Order`, or None if it can't be read.
    """

    def __init__(self, releases, translator):
        self.releases = releases
        self.translator = translator

    def listed(self, objects):
        """Take over all orders."""
        orders = [self.translator.read_order(stored) for stored in objects]
        orders = [order for order in orders if order is not None]
        services = {order.service for order in orders}
        for service in set(self.releases.progress) - services:
            self.releases.remove(service)
        for order in orders:
            self.releases.accept(order)

    def changed(self, change):
        """Take over one change."""
        order = self.translator.read_order(change.object)
        if order is None:
            return
        if change.type == 'delete':
            self.releases.remove(order.service)
        else:
            self.releases.accept(order)

    def confirmed(self, at):
        """Do nothing: an order stays in force until it is replaced."""
