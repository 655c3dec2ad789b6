"""The rollout controller: reports comparisons and takes the next steps."""

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
# Minimum time left on the lease for a write to start.
WRITE_MARGIN_SECONDS = 1.0
# Within one round the fence is written and a bad version is halted, withdrawn
# and unloaded, so that sessions on it do not wait for further rounds.
MAX_STEPS_PER_ROUND = 4


class Controller:
    """Reports this daemon's counts; reconciles rollouts as lease holder.

    Each change is one conditional write on the revision from which the
    decision was made. A write that conflicts, or whose response is lost, is
    not retried: the next round decides again from the stored state, so that
    a change by an operator is never overwritten.

    :param client: :class:`client.ObjectClient`.
    :param leadership: :class:`leases.Leadership`.
    :param order_sender: :class:`order_sender.OrderSender`.
    :param comparisons: :class:`rollouts.Comparisons` of this daemon.
    :param str source: unique name of this process of the daemon.
    """

    def __init__(self, client, leadership, order_sender, comparisons, source):
        self.client = client
        self.leadership = leadership
        self.order_sender = order_sender
        self.comparisons = comparisons
        self.source = source
        self.last_reports = {}
        self.report_revisions = {}
        self.write_count = 0
        self.steps = {
            rollouts.Action.BEGIN: self.begin,
            rollouts.Action.WAIT: self.wait,
            rollouts.Action.ADVANCE: self.advance,
            rollouts.Action.FINISH: self.finish,
            rollouts.Action.HALT: self.halt,
            rollouts.Action.WITHDRAW: self.withdraw,
            rollouts.Action.UNLOAD: self.unload,
        }

    async def run(self):
        """Report and, as lease holder, reconcile until cancelled."""
        while True:
            await curio.sleep(ROUND_SECONDS)
            await self.report()
            await self.reconcile_all()

    async def report(self):
        """Write the counts that changed since the last report."""
        for name, counts in self.comparisons.counts.items():
            spec = {
                'rollout': name,
                'epoch': self.comparisons.epochs.get(name, 0),
                'counts': {
                    signal: dataclasses.asdict(found)
                    for signal, found in counts.items()
                },
            }
            if (
                counts
                and spec['epoch']
                and self.last_reports.get(name) != spec
            ):
                await self.write_report(name, spec)

    async def write_report(self, name, spec):
        """Write one report, which no other daemon writes."""
        report = protocol.StoredObject(
            REPORT_KIND, f'{name}.{self.source}', spec
        )
        revision = self.report_revisions.get(name, 0)
        if revision:
            written = await self.client.put(report, revision)
        else:
            written = await self.client.create(report)
        if written.is_ok():
            self.report_revisions[name] = written.unwrap().revision
            self.last_reports[name] = spec
            return
        error = written.unwrap_err()
        logs.bind_error(error).info(
            'rollout report not written: {}', error.message
        )
        current = getattr(error, 'current', None)
        if isinstance(error, errors.Conflict):
            self.report_revisions[name] = current.revision if current else 0

    async def reconcile_all(self):
        """Reconcile until no more changes are made, or for a round."""
        for _ in range(MAX_STEPS_PER_ROUND):
            previous_count = self.write_count
            await self.reconcile_once()
            if self.write_count == previous_count:
                return

    async def reconcile_once(self):
        """Take the next step of each rollout, if this daemon leads."""
        if self.leadership.current_grant(WRITE_MARGIN_SECONDS).is_err():
            return
        listed = await self.client.list('Rollout')
        reports = await self.client.list(REPORT_KIND)
        if listed.is_err() or reports.is_err():
            return
        stored_rollouts = listed.unwrap().items
        for stored in stored_rollouts:
            read = records.read(stored)
            if read.is_ok():
                await self.reconcile(stored, read.unwrap(), reports.unwrap())
        await self.delete_outdated_reports(
            stored_rollouts, reports.unwrap().items
        )

    async def delete_outdated_reports(self, stored_rollouts, reports):
        """Delete the reports of earlier epochs and of deleted rollouts."""
        epochs = {
            stored.name: rollouts.Status.read(stored.status).epoch
            for stored in stored_rollouts
        }
        for report in reports:
            needed = epochs.get(report.spec.get('rollout'), math.inf)
            epoch = report.spec.get('epoch')
            if not isinstance(epoch, int) or epoch < needed:
                await self.client.delete(report)

    async def reconcile(self, stored, rollout, reports):
        """Take the next step of one rollout."""
        status = rollouts.Status.read(stored.status)
        counts = sum_reports(reports.items, rollout.name, status.epoch)
        decision = rollouts.decide(rollout, status, counts)
        step = self.steps.get(decision.action)
        if step is None:
            return
        granted = self.leadership.current_grant(WRITE_MARGIN_SECONDS)
        if granted.is_ok() and granted.unwrap().fence == status.fence:
            await step(stored, rollout, status, decision)
            return
        # The first write stores this holder's fencing number. A write by an
        # earlier holder that is still in flight then fails on the revision.
        await self.write(stored, {}, status)

    async def begin(self, stored, rollout, status, decision):
        """Load the new version, set it live and start an epoch."""
        if not await self.load(rollout):
            await self.write_waiting_for(stored, status, 'load')
            return
        if not await self.set_version(rollout, catalog.VersionState.LIVE):
            return
        updated = rollouts.Status(
            epoch=status.epoch + 1, to_version=rollout.to_version
        )
        changed = {'share': decision.share}
        await self.write(stored, changed, updated)

    async def wait(self, stored, rollout, status, decision):
        """Keep the new version loaded and write what the test waits for."""
        await self.load(rollout)
        await self.write_waiting_for(stored, status, decision.signals)

    async def write_waiting_for(self, stored, status, reason):
        """Write what the rollout waits for, for operators to read."""
        if status.waiting_for != reason:
            updated = dataclasses.replace(status, waiting_for=reason)
            await self.write(stored, {}, updated)

    async def advance(self, stored, rollout, status, decision):
        """Go to the next stage, with a new epoch."""
        updated = dataclasses.replace(
            status, epoch=status.epoch + 1, waiting_for=''
        )
        await self.write(stored, {'share': decision.share}, updated)

    async def finish(self, stored, rollout, status, decision):
        """Finish the rollout at the new version."""
        state = catalog.RolloutState.FINISHED.value
        updated = dataclasses.replace(status, waiting_for='')
        changed = {'share': 1.0, 'state': state}
        await self.write(stored, changed, updated)

    async def halt(self, stored, rollout, status, decision):
        """Halt the rollout, so that no new sessions get the new version."""
        state = catalog.RolloutState.HALTED.value
        updated = dataclasses.replace(
            status, cause=decision.signals, withdrawn=False, waiting_for=''
        )
        changed = {'share': 0.0, 'state': state}
        if await self.write(stored, changed, updated):
            logs.bind(step='halt roll-out', peer=rollout.name).warning(
                'rollout halted: version {} is worse by {}',
                rollout.to_version,
                decision.signals,
            )

    async def withdraw(self, stored, rollout, status, decision):
        """Withdraw the version, then record it in the status."""
        if await self.set_version(rollout, catalog.VersionState.WITHDRAWN):
            updated = dataclasses.replace(status, withdrawn=True)
            await self.write(stored, {}, updated)

    async def unload(self, stored, rollout, status, decision):
        """Unload the withdrawn version from its endpoints."""
        name = f'{rollout.model}@{rollout.to_version}'
        read = await self.client.get('ModelVersion', name)
        if read.is_err() or is_usable(read.unwrap()):
            # An operator has made the version usable again.
            return
        for endpoint in await self.endpoints_serving(name):
            await self.send(endpoint, 'unload', rollout)

    async def load(self, rollout):
        """Load the version at the endpoints whose records list it.

        :returns: whether at least one endpoint has loaded it.
        """
        name = f'{rollout.model}@{rollout.to_version}'
        loaded = [
            await self.send(endpoint, 'load', rollout)
            for endpoint in await self.endpoints_serving(name)
        ]
        return any(loaded)

    async def endpoints_serving(self, version):
        """Return the endpoints whose records list a version."""
        listed = await self.client.list('Endpoint')
        items = listed.unwrap().items if listed.is_ok() else ()
        read = [records.read(stored) for stored in items]
        found = [one.unwrap() for one in read if one.is_ok()]
        return [one for one in found if version in one.serves]

    async def send(self, endpoint, kind, rollout):
        """Send one order; return whether it has taken effect."""
        done = await self.order_sender.execute(
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
        """Write a rollout; return whether the write is known to be done."""
        granted = self.leadership.current_grant(WRITE_MARGIN_SECONDS)
        if granted.is_err():
            return False
        fence = granted.unwrap().fence
        if status.fence > fence:
            self.leadership.step_down(status.fence)
            return False
        fields = dataclasses.asdict(dataclasses.replace(status, fence=fence))
        return await self.put(stored, changed, {**stored.status, **fields})

    async def put(self, stored, changed, status):
        """Write an object, conditional on the revision that was read."""
        if self.leadership.current_grant(WRITE_MARGIN_SECONDS).is_err():
            return False
        spec = editing.deep_merge(stored.spec, changed)
        updated = dataclasses.replace(stored, spec=spec, status=status)
        written = await self.client.put(updated, stored.revision)
        if written.is_err():
            error = written.unwrap_err()
            logs.bind_error(error).info(
                'write of {} failed, not retried: {}',
                stored.name,
                error.message,
            )
            return False
        self.write_count += 1
        return True


def is_usable(stored):
    """Return whether a stored model version may get new requests."""
    state = stored.spec.get('state', catalog.VersionState.LIVE.value)
    return state != catalog.VersionState.WITHDRAWN.value


def sum_reports(reports, name, epoch):
    """Return the counts of all daemons for one epoch, by signal."""
    total = {}
    for report in reports:
        spec = report.spec
        if (spec.get('rollout'), spec.get('epoch')) != (name, epoch):
            continue
        try:
            counts = rollouts.read_counts(spec.get('counts'))
        except errors.BadInput as error:
            logs.bind_error(error).error(
                'malformed rollout report {} ignored: {}',
                report.name,
                error.message,
            )
            continue
        for signal, found in counts.items():
            total[signal] = total.get(signal, rollouts.Counts()).add(found)
    return total
