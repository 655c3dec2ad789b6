"""Properties of every decoder of what other programs have written.

A short run with the same examples each time is part of the tests. A long one
with new examples: CELERYWARD_EXAMPLES=10000 pytest tests/test_decoders.py
"""

import dataclasses
import functools
import gc
import math
import random
import re
import sys

from adapter import settings_file
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from celeryward.daemons import exchange_pb2
from celeryward.daemons import protocol as daemons
from celeryward import decoding
from celeryward import errors
from tests import odd_inputs
from tests import registered_decoders

SETTINGS = """
nodeName = "front-1"
zone = "a"
ip = "10.0.0.1"
portRange = [7340, 7355]
listen = {front = "10.0.0.1:80", ready = "10.0.0.1:81"}
provider = {address = "10.0.0.9:90", historyS = 20}
limits = {linkMbps = 100}
[bounds]
strictRevoke = true
revokeMs = 5000
graceS = 8
configApplyMs = 2000
drainMs = 2000
contactMs = 3000
retryRatio = 0.9
retryWindowS = 10
retrySlack = 54
"""
VALUES = re.compile(r'"[^"]*"|\[[^]]*\]|\b[0-9.]+\b|true')
ODD_VALUES = (
    '[' * odd_inputs.DEPTH + ']' * odd_inputs.DEPTH,
    '[' * odd_inputs.DEPTH,
    '9' * 400,
    '9' * 5000,
    '-1',
    '0',
    '99999',
    'nan',
    'inf',
    '-inf',
    '1e999',
    'true',
    '""',
    '"\\ud800"',
    '"10.0.0.1:99999"',
    '"10.0.0.1:-1"',
    '2026-12-04T10:00:00',
    '{}',
    '[]',
    '[[]]',
    '"' + 'x' * 5000 + '"',
    '\0',
)


def odd_settings(seed):
    """Return the text of a settings file with one or two odd values."""
    generator = random.Random(seed)
    text = SETTINGS
    for _ in range(generator.choice((1, 2))):
        found = generator.choice(list(VALUES.finditer(text)))
        odd = generator.choice(ODD_VALUES)
        text = text[: found.start()] + odd + text[found.end() :]
    return text


def odd_announcement(generator, odd):
    """Return an announcement with odd content.

    :param odd: function that returns a number.
    """
    content = generator.choice(
        (
            msgspec.msgpack.encode({'daemon': 'd', 'day': 2**64 - 1}),
            msgspec.msgpack.encode(
                {
                    'daemon': 'd',
                    'customers': [{'customer': 'c', 'rate': odd()}],
                }
            ),
            msgspec.msgpack.encode([{'endpoint': 'e', 'at': odd()}]),
            msgspec.msgpack.encode(
                [{'endpoint': 'e', 'leaving': True, 'at': odd()}]
            ),
            b'\x91' * odd_inputs.DEPTH,
            generator.randbytes(20),
        )
    )
    topic = generator.choice(('demand', 'suspects', 'departures', 'newer'))
    return exchange_pb2.Announcement(
        topic=topic, source='s', sequence=1, content=content
    )


def daemon_messages(seed):
    """Return messages of other daemons with odd content."""
    generator = random.Random(seed)
    odd = functools.partial(
        generator.choice, (0.0, 1.0, -1.0, math.inf, math.nan, 1e308)
    )
    member = exchange_pb2.Member(
        owner='o', port=generator.choice((0, 80, 2**32 - 1)), started_at=odd()
    )
    stored = odd_inputs.mutated(generator, registered_decoders.STORED)
    changes = [exchange_pb2.Change(type='put', revision=3, object=stored)]
    run = exchange_pb2.Run(
        version='m@1',
        prompt_tokens=generator.choice((1, 2**64 - 1)),
        cost=odd(),
    )
    bill = exchange_pb2.Bill(request_id='r', runs=[run], finished_at=odd())
    announcement = odd_announcement(generator, odd)
    return (
        exchange_pb2.Digest(
            member_ids=[1] * generator.choice((0, 1, 2)),
            counters=[1],
            members=[member],
            confirmed_at=odd(),
            bucket_hashes=[1] * generator.choice((0, 3, 64, 100)),
            bucket_numbers=[generator.choice((1, 63, 64, 2**32 - 1))],
            changes=changes,
        ),
        exchange_pb2.Changes(changes=changes),
        exchange_pb2.Bills(owner='o', bills=[bill]),
        exchange_pb2.Announcements(announcements=[announcement]),
    )


def read_daemon_messages(seed):
    """Read messages of other daemons; only the documented error passes."""
    readers = (
        daemons.read_digest,
        daemons.read_changes,
        daemons.read_bills,
        daemons.read_announcements,
    )
    for read, message in zip(readers, daemon_messages(seed), strict=True):
        try:
            found = read(message)
        except errors.ProtocolError:
            continue
        decoding.check_bounds(found)


SEEDS = strategies.integers(0, 2**64 - 1)
RUN = hypothesis.settings(
    max_examples=odd_inputs.EXAMPLES,
    derandomize=odd_inputs.EXAMPLES <= odd_inputs.SHORT_EXAMPLES,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestDecoders:
    """Guards against input that ends a task or passes its bounds."""

    @pytest.mark.parametrize('name', registered_decoders.DECODERS.entries)
    def test_only_documented_errors_are_raised(self, name):
        found = registered_decoders.DECODERS.get(name)

        @RUN
        @hypothesis.given(odd_inputs.bodies(*found.documents))
        def check(body):
            try:
                found.decode(body)
            except found.errors:
                return

        check()

    @pytest.mark.parametrize('name', registered_decoders.DECODERS.entries)
    def test_valid_documents_are_read(self, name):
        found = registered_decoders.DECODERS.get(name)
        for document in found.documents:
            found.decode(msgspec.json.encode(document))

    @RUN
    @hypothesis.given(SEEDS)
    def test_messages_of_daemons(self, seed):
        read_daemon_messages(seed)

    @RUN
    @hypothesis.given(SEEDS)
    def test_settings_files_of_the_platform(self, seed):
        try:
            placement = settings_file.parse(odd_settings(seed), 9464, 'file')
        except errors.BadInput:
            return
        for address in (placement.callers, placement.store):
            assert 0 < address.port <= 65535
        for value in dataclasses.astuple(placement.bounds)[1:]:
            assert math.isfinite(value)


class TestMemory:
    """Guards against odd input whose traces stay in memory."""

    # One block for each tenth input.
    MAX_GROWTH_BLOCKS = 1_000

    def test_memory_does_not_grow_over_10000_inputs(self):
        self.feed(range(1_000))
        before = self.allocated_blocks()
        self.feed(range(1_000, 11_000))
        assert self.allocated_blocks() - before < self.MAX_GROWTH_BLOCKS

    def allocated_blocks(self):
        """Return the number of memory blocks that are in use."""
        gc.collect()
        return sys.getallocatedblocks()

    def feed(self, seeds):
        """Decode one input for each seed, by the decoders in turn."""
        names = list(registered_decoders.DECODERS.entries)
        for seed in seeds:
            generator = random.Random(seed)
            found = registered_decoders.DECODERS.get(names[seed % len(names)])
            document = generator.choice(found.documents)
            try:
                found.decode(odd_inputs.mutated(generator, document))
            except found.errors:
                continue
