"""Conversion between data classes and the protobuf messages of daemons."""

import itertools

import msgspec

from celeryward import calls
from celeryward.daemons import exchange_pb2
from celeryward.daemons import gossip
from celeryward.daemons import inventory
from celeryward.daemons import membership
from celeryward.daemons import topics
from celeryward import decoding
from celeryward import errors
from celeryward.objects import protocol

# Below the 4 MiB window of an HTTP/2 stream. The next exchange sends the
# changes that do not fit.
MAX_CHANGE_BYTES = 2 * 1024 * 1024


def change_message(change):
    """Return the message of one change."""
    return exchange_pb2.Change(
        type=change.type,
        revision=change.revision,
        object=protocol.encode(change.object),
    )


def read_change(message):
    """Return the :class:`objects.protocol.Change` of a message.

    An object of which only the name can be read costs only itself.

    :raises errors.ProtocolError: if not even that can be decoded.
    """
    try:
        stored = protocol.read_object(message.object, message.revision)
    except msgspec.DecodeError as error:
        raise errors.ProtocolError(
            f'malformed object: {error}', step='decode change', peer='daemon'
        ) from error
    return protocol.Change(message.type, message.revision, stored)


def bounded(value):
    """Return a decoded value whose numbers are within bounds.

    :raises errors.ProtocolError: if one is not.
    """
    try:
        decoding.check_bounds(value)
    except msgspec.DecodeError as error:
        raise errors.ProtocolError(
            f'malformed message: {error}', step='decode message', peer='daemon'
        ) from error
    return value


def bounded_change_messages(changes):
    """Yield messages up to ``MAX_CHANGE_BYTES``, but at least one."""
    size = 0
    for change in changes:
        message = change_message(change)
        size += len(message.object)
        if size > MAX_CHANGE_BYTES and size > len(message.object):
            return
        yield message


def changes_message(changes):
    """Return the message that pushes changes."""
    return exchange_pb2.Changes(changes=bounded_change_messages(changes))


def read_changes(message):
    """Return the changes of a push."""
    return tuple(map(read_change, message.changes))


def member_message(member):
    """Return the message that describes a member."""
    return exchange_pb2.Member(
        owner=member.owner,
        name=member.name,
        host_name=member.host_name,
        address=member.address,
        port=member.port,
        failure_domain=member.failure_domain,
        started_at=member.started_at,
    )


def read_member(message):
    """Return the :class:`membership.Member` of a message."""
    return membership.Member(
        message.owner,
        message.name,
        message.host_name,
        message.address,
        message.port,
        message.failure_domain,
        message.started_at,
    )


def digest_message(digest):
    """Return the message of a digest."""
    return exchange_pb2.Digest(
        member_ids=[entry.member_id for entry in digest.heartbeats],
        counters=[entry.counter for entry in digest.heartbeats],
        members=map(member_message, digest.members),
        unknown_ids=digest.unknown_ids,
        fingerprint=digest.fingerprint,
        confirmed_at=digest.confirmed_at,
        bucket_hashes=digest.bucket_hashes,
        bucket_numbers=digest.bucket_numbers,
        keys=[entry.key for entry in digest.entries],
        revisions=[entry.revision for entry in digest.entries],
        changes=bounded_change_messages(digest.changes),
        wanted=digest.wanted,
    )


def read_digest(message):
    """Return the :class:`gossip.Digest` of a message.

    :raises errors.ProtocolError: if parallel fields differ in length, or a
        number is out of range.
    """
    if any(number >= inventory.BUCKET_COUNT for number in buckets(message)):
        raise errors.ProtocolError(
            'unknown bucket', step='decode digest', peer='daemon'
        )
    heartbeats = zip_fields(
        membership.Heartbeat, message.member_ids, message.counters
    )
    entries = zip_fields(inventory.Entry, message.keys, message.revisions)
    digest = gossip.Digest(
        heartbeats=heartbeats,
        members=tuple(map(read_member, message.members)),
        unknown_ids=tuple(message.unknown_ids),
        fingerprint=message.fingerprint,
        confirmed_at=message.confirmed_at,
        bucket_hashes=tuple(message.bucket_hashes),
        bucket_numbers=tuple(message.bucket_numbers),
        entries=entries,
        changes=tuple(map(read_change, message.changes)),
        wanted=tuple(message.wanted),
    )
    return bounded(digest)


def buckets(message):
    """Return the bucket numbers that a digest names or hashes."""
    last_hashed = max(0, len(message.bucket_hashes) - 1)
    return (*message.bucket_numbers, last_hashed)


def zip_fields(value_type, first, second):
    """Return values of a type, made from two parallel fields.

    :raises errors.ProtocolError: if the fields differ in length.
    """
    if len(first) != len(second):
        raise errors.ProtocolError(
            f'parallel fields have {len(first)} and {len(second)} values',
            step='decode digest',
            peer='daemon',
        )
    return tuple(itertools.starmap(value_type, zip(first, second)))


def bill_message(bill):
    """Return the message of one bill."""
    return exchange_pb2.Bill(
        request_id=bill.request_id,
        customer=bill.customer,
        target=bill.target,
        runs=map(run_message, bill.runs),
        finished_at=bill.finished_at,
        id=bill.id,
        batch=bill.batch,
    )


def run_message(run):
    """Return the message of one run."""
    return exchange_pb2.Run(
        version=run.version,
        endpoint=run.endpoint,
        prompt_tokens=run.usage.prompt_tokens,
        answer_tokens=run.usage.answer_tokens,
        cost=run.cost,
    )


def bills_message(owner, bills):
    """Return the message that sends copies of bills to a peer."""
    return exchange_pb2.Bills(owner=owner, bills=map(bill_message, bills))


def read_run(message):
    """Return the :class:`calls.Run` of a message."""
    usage = calls.Usage(message.prompt_tokens, message.answer_tokens)
    return calls.Run(message.version, message.endpoint, usage, message.cost)


def read_bill(message):
    """Return the :class:`calls.Bill` of a message."""
    return calls.Bill(
        message.request_id,
        message.customer,
        message.target,
        tuple(map(read_run, message.runs)),
        message.finished_at,
        message.id,
        message.batch,
    )


def read_bills(message):
    """Return the bills of a message.

    :raises errors.ProtocolError: if a number is not finite.
    """
    return bounded(tuple(map(read_bill, message.bills)))


def announcements_message(announcements):
    """Return the message of announcements."""
    return exchange_pb2.Announcements(
        announcements=(
            exchange_pb2.Announcement(
                topic=announced.topic,
                source=announced.source,
                sequence=announced.sequence,
                content=msgspec.msgpack.encode(announced.content),
            )
            for announced in announcements
        )
    )


def read_announcements(message, record_fault=lambda *fault: None):
    """Return the announcements of a message that can be decoded.

    Topics of newer releases, unknown to this daemon, are skipped.

    :param record_fault: function of topic, source and fault of each one that
        can't be decoded.
    """
    found = []
    for entry in message.announcements:
        if entry.topic not in topics.TOPICS.entries:
            continue
        try:
            found.append(read_announcement(entry))
        except errors.ProtocolError as error:
            record_fault(entry.topic, entry.source, error.message)
    return found


def read_announcement(entry):
    """Return the :class:`topics.Announcement` of a message.

    :raises errors.ProtocolError: if the content can't be decoded.
    """
    topic = topics.TOPICS.get(entry.topic)
    try:
        decoder = msgspec.msgpack.Decoder(topic.type)
        content = decoding.decode_bounded(decoder, entry.content)
    except msgspec.DecodeError as error:
        raise errors.ProtocolError(
            f'malformed {entry.topic}: {error}',
            step='decode announcement',
            peer=entry.source,
        ) from error
    return topics.Announcement(
        entry.topic, entry.source, entry.sequence, content
    )
