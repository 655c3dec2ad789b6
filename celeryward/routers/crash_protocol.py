"""Wire format of the evidence of crashes that routers tell each other.

``POST /crashes`` carries a report; its answer is empty.
``GET /crashes?after=N`` and the fields of the router that asks, which
introduces itself so, is answered with a report of all evidence from the N-th
entry on, as far as one message reaches. A report is a
:class:`crash_reports.CrashReport`.
"""

import dataclasses
import typing
import urllib.parse

import msgspec

from celeryward import decoding
from celeryward.endpoints import crash_reports
from celeryward import logs
from celeryward.objects import protocol
from celeryward.routers import members

PATH = '/crashes'
EMPTY_LIST = b'[]'
MAX_LOGGED_FAULTS = 4
MAX_QUERY_CHARACTERS = 1000
MAX_AFTER = 10**9
MAX_PORT = 65535
MAX_LINK_MBPS = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceRequest:
    """Request of a router for all evidence.

    :param int after: number of the first entry.
    :param members.Member member: the router that asks, which may not be in
        the lists of others yet.
    """

    after: int
    member: members.Member


CRASH_DECODER = msgspec.json.Decoder(crash_reports.ReportedCrash)
CLEARANCE_DECODER = msgspec.json.Decoder(crash_reports.ReportedClearance)
TRIAL_DECODER = msgspec.json.Decoder(crash_reports.ReportedTrial)
NAME_DECODER = msgspec.json.Decoder(crash_reports.Text)
NUMBER_DECODER = msgspec.json.Decoder(
    typing.Annotated[int, msgspec.Meta(ge=0)]
)


def read_report(body):
    """Return the :class:`crash_reports.CrashReport` in a body.

    Each entry is read by itself; one that is malformed is left out.

    :raises msgspec.DecodeError: if the body as a whole is malformed.
    """
    document = decoding.split_members(body)

    def read_list(name, decoder):
        values, faults = protocol.read_each(
            document.get(name, EMPTY_LIST),
            lambda entry: decoding.decode_bounded(decoder, entry),
        )
        for fault in faults[:MAX_LOGGED_FAULTS]:
            logs.bind(step='crashes', peer='router').info(
                'evidence ignored: {}', fault
            )
        return values

    return crash_reports.CrashReport(
        decoding.decode(NAME_DECODER, document.get('sender', b'""')),
        read_list('crashes', CRASH_DECODER),
        read_list('cleared', CLEARANCE_DECODER),
        read_list('trials', TRIAL_DECODER),
        decoding.decode(NUMBER_DECODER, document.get('next', b'0')),
    )


def parse_request(query, body):
    """Return the request to :data:`PATH`; None if it is malformed.

    :returns: :class:`crash_reports.CrashReport` or :class:`EvidenceRequest`.
    """
    if not body:
        return parse_evidence_request(query)
    try:
        return read_report(body)
    except msgspec.DecodeError:
        return None


def evidence_path(after, member):
    """Return the path of a request for evidence.

    :param int after: as in :class:`EvidenceRequest`.
    :param members.Member member: the router that asks.
    """
    query = {'after': after, **dataclasses.asdict(member)}
    return f'{PATH}?{urllib.parse.urlencode(query)}'


def parse_evidence_request(query):
    """Return the :class:`EvidenceRequest` in a query; None if malformed."""
    if len(query) > MAX_QUERY_CHARACTERS:
        return None
    found = dict(urllib.parse.parse_qsl(query))
    try:
        after = int(found['after'])
        member = members.Member(
            found['name'],
            found['failure_domain'],
            found['host'],
            int(found['port']),
            float(found['capacity']),
        )
    except (KeyError, ValueError):
        return None
    is_valid = (
        0 <= after <= MAX_AFTER
        and 0 < member.port <= MAX_PORT
        and 0.0 <= member.capacity <= MAX_LINK_MBPS
    )
    return EvidenceRequest(after, member) if is_valid else None
