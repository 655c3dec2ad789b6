"""Reads the data of the daily report from the platform."""

from celeryward import errors
from celeryward.objects import batches
from celeryward.objects import configuration
from celeryward.objects import records
from celeryward.objects import window_publisher
from celeryward.operators import report
from celeryward.operators import windows


async def read_report(client, now, customer=''):
    """Return the :class:`report.Report` of the last 24 hours.

    :param client: :class:`objects.client.ObjectClient`.
    :param float now: UTC seconds.
    :param str customer: report on this customer only; empty for all.
    :raises errors.PlatformUnavailable: if the platform can't be read.
    :raises errors.BadInput: if a service window is malformed.
    """
    store = configuration.ConfigurationStore()
    for kind in records.KINDS:
        store.accept_list(kind, errors.unwrap(await client.list(kind)))
    stored_windows = errors.unwrap(await client.list(windows.WINDOW_KIND))
    service_windows = [
        errors.unwrap(window_publisher.from_object(each))
        for each in stored_windows.items
    ]
    stored_batches = errors.unwrap(await client.list(batches.BATCH_KIND))
    oldest = report.first_bill_time(now)
    bill_ids = [
        bill.id
        for each in stored_batches.items
        for bill in batches.from_object(each).all_bills()
        if bill.finished_at >= oldest and customer in ('', bill.customer)
    ]
    return report.build(
        store.catalog(), service_windows, bill_ids, now, customer
    )
