"""The task that reports comparisons and steers roll-outs."""

import dataclasses
import math

import curio

from celeryward import catalog
from celeryward.endpoints import orders
from celeryward import errors
from celeryward import logs
from celeryward.objects import editing
from celeryward.objects import protocol
from celeryward.objects import records
from celeryward.raters import rollouts

REPORT_KIND = 'RolloutReport'
ROUND_SECONDS = 5.0
# Time that must be left on the lease when a change is written.
WRITE_MARGIN_SECONDS = 1.0
# Steps of one round: claim, halt, withdraw and unload follow each other
# at once, so that sessions on a bad version do not wait for a round.
STEPS_OF_A_ROUND = 4


class Controller:
    """Reports what this daemon observes; steers as the lease holder.

    Each change is one conditional write on the revision that the decision
    was made on. A write that loses, or whose answer is lost, is dropped:
    the next round decides anew on what is stored then, so that a change
    by an operator always stands.

    :param client: :class:`client.ObjectClient`.
    :param leadership: :class:`leases.Leadership`.
    :param sender: :class:`order_sender.OrderSender`.
    :param comparisons: :class:`rollouts.Comparisons` of this daemon.
    :param str source: unique name of this run of the daemon.
    """

    def __init__(self, client, leadership, sender, comparisons, source):
        self.client = client
        self.leadership = leadership
        self.sender = sender
        self.comparisons = comparisons
        self.source = source
        self.reported = {}
        self.revisions = {}
        self.changes = 0
        self.steps = {
            rollouts.Action.BEGIN: self.begin,
            rollouts.Action.WAIT: self.note_waiting,
            rollouts.Action.ADVANCE: self.advance,
            rollouts.Action.FINISH: self.finish,
            rollouts.Action.HALT: self.halt,
            rollouts.Action.WITHDRAW: self.withdraw,
            rollouts.Action.UNLOAD: self.unload,
        }

    async def run(self):
        """Report, and steer while the lease is held, until cancelled."""
        while True:
            await curio.sleep(ROUND_SECONDS)
            await self.report()
            await self.steer_all()

    async def report(self):
        """Write the counts that have changed since the last report."""
        for name, counts in self.comparisons.counts.items():
            spec = {
                'rollout': name,
                'epoch': self.comparisons.epochs.get(name, 0),
                'counts': {
                    signal: dataclasses.asdict(found)
                    for signal, found in counts.items()
                },
            }
            if counts and spec['epoch'] and self.reported.get(name) != spec:
                await self.write_report(name, spec)

    async def write_report(self, name, spec):
        """Write one report; its only writer is this daemon."""
        report = protocol.StoredObject(
            REPORT_KIND, f'{name}.{self.source}', spec
        )
        revision = self.revisions.get(name, 0)
        if revision:
            written = await self.client.put(report, revision)
        else:
            written = await self.client.create(report)
        if written.is_ok():
            self.revisions[name] = written.unwrap().revision
            self.reported[name] = spec
            return
        error = written.unwrap_err()
        logs.bind_error(error).info('report not written: {}', error.message)
        current = getattr(error, 'current', None)
        if isinstance(error, errors.Conflict):
            self.revisions[name] = current.revision if current else 0

    async def steer_all(self):
        """Steer until nothing more can be done at once."""
        for _ in range(STEPS_OF_A_ROUND):
            before = self.changes
            await self.steer_once()
            if self.changes == before:
                return

    async def steer_once(self):
        """Take the next step of each roll-out, if this daemon leads."""
        if self.leadership.held(WRITE_MARGIN_SECONDS).is_err():
            return
        listed = await self.client.list('Rollout')
        reports = await self.client.list(REPORT_KIND)
        if listed.is_err() or reports.is_err():
            return
        found = listed.unwrap().items
        for stored in found:
            read = records.read(stored)
            if read.is_ok():
                await self.steer(stored, read.unwrap(), reports.unwrap())
        await self.delete_outdated(found, reports.unwrap().items)

    async def delete_outdated(self, found, reports):
        """Delete the reports of earlier epochs and deleted roll-outs."""
        epochs = {
            stored.name: rollouts.Status.read(stored.status).epoch
            for stored in found
        }
        for report in reports:
            needed = epochs.get(report.spec.get('rollout'), math.inf)
            epoch = report.spec.get('epoch')
            if not isinstance(epoch, int) or epoch < needed:
                await self.client.delete(report)

    async def steer(self, stored, rollout, reports):
        """Take the next step of one roll-out."""
        status = rollouts.Status.read(stored.status)
        counts = sum_reports(reports.items, rollout.name, status.epoch)
        decision = rollouts.decide(rollout, status, counts)
        step = self.steps.get(decision.action)
        if step is None:
            return
        granted = self.leadership.held(WRITE_MARGIN_SECONDS)
        if granted.is_ok() and granted.unwrap().fence == status.fence:
            await step(stored, rollout, status, decision)
            return
        # Writes this holder's number first. A write of an earlier holder
        # that is still under way then fails on the revision.
        await self.write(stored, {}, status)

    async def begin(self, stored, rollout, status, decision):
        """Load the new version, let it be used, and begin an epoch."""
        if not await self.load(rollout):
            await self.state_waiting(stored, status, 'load')
            return
        if not await self.set_version(rollout, catalog.VersionState.LIVE):
            return
        following = rollouts.Status(
            epoch=status.epoch + 1, to_version=rollout.to_version
        )
        changed = {'share': decision.share}
        await self.write(stored, changed, following)

    async def note_waiting(self, stored, rollout, status, decision):
        """Keep the new version loaded; state what the test waits for."""
        await self.load(rollout)
        await self.state_waiting(stored, status, decision.signals)

    async def state_waiting(self, stored, status, reason):
        """Write for operators what the roll-out waits for."""
        if status.waiting_for != reason:
            following = dataclasses.replace(status, waiting_for=reason)
            await self.write(stored, {}, following)

    async def advance(self, stored, rollout, status, decision):
        """Go to the next share, with a new epoch."""
        following = dataclasses.replace(
            status, epoch=status.epoch + 1, waiting_for=''
        )
        await self.write(stored, {'share': decision.share}, following)

    async def finish(self, stored, rollout, status, decision):
        """End the roll-out on the new version."""
        state = catalog.RolloutState.FINISHED.value
        following = dataclasses.replace(status, waiting_for='')
        changed = {'share': 1.0, 'state': state}
        await self.write(stored, changed, following)

    async def halt(self, stored, rollout, status, decision):
        """Send no further sessions to the new version."""
        state = catalog.RolloutState.HALTED.value
        following = dataclasses.replace(
            status, cause=decision.signals, withdrawn=False, waiting_for=''
        )
        changed = {'share': 0.0, 'state': state}
        if await self.write(stored, changed, following):
            logs.bind(step='halt roll-out', peer=rollout.name).warning(
                'version {} is worse by {}',
                rollout.to_version,
                decision.signals,
            )

    async def withdraw(self, stored, rollout, status, decision):
        """Withdraw the version, then note that this is done."""
        if await self.set_version(rollout, catalog.VersionState.WITHDRAWN):
            following = dataclasses.replace(status, withdrawn=True)
            await self.write(stored, {}, following)

    async def unload(self, stored, rollout, status, decision):
        """Take the withdrawn version off the endpoints."""
        name = f'{rollout.model}@{rollout.to_version}'
        read = await self.client.get('ModelVersion', name)
        if read.is_err() or is_usable(read.unwrap()):
            # An operator has made the version usable again.
            return
        for endpoint in await self.endpoints_of(name):
            await self.send(endpoint, 'unload', rollout)

    async def load(self, rollout):
        """Load the version where its record says that it is served.

        :returns: whether at least one endpoint runs it.
        """
        name = f'{rollout.model}@{rollout.to_version}'
        loaded = [
            await self.send(endpoint, 'load', rollout)
            for endpoint in await self.endpoints_of(name)
        ]
        return any(loaded)

    async def endpoints_of(self, version):
        """Return the endpoints whose records name a version."""
        listed = await self.client.list('Endpoint')
        items = listed.unwrap().items if listed.is_ok() else ()
        read = [records.read(stored) for stored in items]
        found = [one.unwrap() for one in read if one.is_ok()]
        return [one for one in found if version in one.serves]

    async def send(self, endpoint, kind, rollout):
        """Send one order; return whether it has taken effect."""
        done = await self.sender.execute(
            endpoint, kind, rollout.model, rollout.to_version
        )
        if done.is_err() and not isinstance(
            done.unwrap_err(), orders.OrderDeferred
        ):
            error = done.unwrap_err()
            logs.bind_error(error).warning('order failed: {}', error.message)
        return done.is_ok()

    async def set_version(self, rollout, state):
        """Set the state of the new version; return whether it is set."""
        name = f'{rollout.model}@{rollout.to_version}'
        read = await self.client.get('ModelVersion', name)
        if read.is_err():
            return False
        stored = read.unwrap()
        if stored.spec.get('state', 'live') == state.value:
            return True
        return await self.put(stored, {'state': state.value}, stored.status)

    async def write(self, stored, changed, status):
        """Write a roll-out; return whether the write is known to be done."""
        granted = self.leadership.held(WRITE_MARGIN_SECONDS)
        if granted.is_err():
            return False
        fence = granted.unwrap().fence
        if status.fence > fence:
            self.leadership.drop(status.fence)
            return False
        fields = dataclasses.asdict(dataclasses.replace(status, fence=fence))
        return await self.put(stored, changed, {**stored.status, **fields})

    async def put(self, stored, changed, status):
        """Write an object at the revision that it was read at."""
        if self.leadership.held(WRITE_MARGIN_SECONDS).is_err():
            return False
        spec = editing.merge(stored.spec, changed)
        following = dataclasses.replace(stored, spec=spec, status=status)
        written = await self.client.put(following, stored.revision)
        if written.is_err():
            error = written.unwrap_err()
            logs.bind_error(error).info(
                'change of {} dropped: {}', stored.name, error.message
            )
            return False
        self.changes += 1
        return True


def is_usable(stored):
    """Return whether a stored model version may receive new work."""
    state = stored.spec.get('state', catalog.VersionState.LIVE.value)
    return state != catalog.VersionState.WITHDRAWN.value


def sum_reports(reports, name, epoch):
    """Return the counts by signal of all daemons for one epoch."""
    total = {}
    for report in reports:
        spec = report.spec
        if (spec.get('rollout'), spec.get('epoch')) != (name, epoch):
            continue
        try:
            counts = rollouts.read_counts(spec.get('counts'))
        except errors.BadInput as error:
            logs.bind_error(error).error(
                'report {} ignored: {}', report.name, error.message
            )
            continue
        for signal, found in counts.items():
            total[signal] = total.get(signal, rollouts.Counts()).add(found)
    return total
