"""Reads a list that the store returns in pages."""

import result

from celeryward import errors
from celeryward.objects import protocol

# A store that repeats a page must not keep its reader busy for ever.
MAX_PAGES = 1000


async def read_all(read_page, peer):
    """Read all pages of a list.

    The returned revision is that of the first page, so that a watch from
    there reports the changes that were made between two pages. Pages of
    different generations don't make a list.

    :param read_page: coroutine function of the name to continue after.
    :param str peer: address of the store.
    :returns: ``Ok(ObjectList)`` or ``Err``.
    """
    items, faults = [], []
    first = None
    after = ''
    for _ in range(MAX_PAGES):
        outcome = await read_page(after)
        if outcome.is_err():
            return outcome
        page = outcome.unwrap()
        first = first or page
        if page.generation != first.generation:
            message = 'store data has changed between two pages'
            return result.Err(
                errors.RevisionExpired(message, step='list', peer=peer)
            )
        items.extend(page.items)
        faults.extend(page.faults)
        after = page.next_after
        if not after:
            return result.Ok(make_list(items, first, faults))
    message = f'list has over {MAX_PAGES} pages'
    return result.Err(
        errors.PlatformUnavailable(message, step='list', peer=peer)
    )


def make_list(items, first, faults):
    """Return the list of all pages, at the revision of the first one."""
    return protocol.ObjectList(
        tuple(items),
        first.revision,
        first.confirmed_seconds,
        tuple(faults),
        first.generation,
    )
