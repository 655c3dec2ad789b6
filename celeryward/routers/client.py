"""Client of another router."""

import itertools

import result

from celeryward import errors
from celeryward import http
from celeryward.objects import client
from celeryward.routers import crash_protocol
from celeryward.routers import protocol

# Time allowed for the response to a poll beyond its wait, and for others.
TIMEOUT_SECONDS = 0.4


class RouterClient(client.ObjectClient):
    """Reads objects from another router, and reports evidence to it.

    :param members.Member member: the other router.
    :param str name: name of this router.
    """

    def __init__(self, member, name):
        super().__init__(
            member, TIMEOUT_SECONDS, name, protocol.RouterDialect()
        )
        self.request_numbers = itertools.count(1)

    async def exchange(
        self, connection, method, path, headers, body, deadline
    ):
        """Send a request with a number of its own; return the response.

        A response with another number is a copy of an earlier one, whose
        state would look as recent as this request. A router of an earlier
        release repeats none. One without a frame may have been cut off.
        """
        number = str(next(self.request_numbers))
        headers = {**headers, protocol.REQUEST_NUMBER: number}
        response, answer = await http.exchange(
            connection, method, path, headers, body, deadline
        )
        fault = ''
        if response.headers.get(protocol.REQUEST_NUMBER, number) != number:
            fault = 'response is to another request'
        elif not response.is_framed:
            fault = 'response has neither a length nor chunks'
        if fault:
            raise errors.ProtocolError(
                fault, step=f'{method} {path}', peer=self.peer
            )
        return response, answer

    def connection_use(self, method, watched):
        """Return one name for all calls: responses repeat their number."""
        return 'numbered'

    def check_status(self, status, body, method, path, kind=''):
        """Return ``Ok(body)``, or the error that the status indicates."""
        if status == protocol.STATUS_OUT_OF_DATE:
            return result.Err(
                errors.StateOutdated(
                    'router has no recent state',
                    step=f'{method} {path}',
                    peer=self.peer,
                )
            )
        if status == protocol.STATUS_UNKNOWN_KIND and method == 'GET':
            return result.Err(
                errors.NotFound(
                    'router does not relay this kind',
                    step=f'{method} {path}',
                    peer=self.peer,
                )
            )
        return super().check_status(status, body, method, path, kind)

    def classify(self, error, method, path):
        """Return the error of a call whose outcome is unknown.

        Any call may be made again, because what it tells counts once.
        """
        return super().classify(error, 'GET', path)

    async def report(self, report):
        """Send a :class:`protocol.EvidenceReport`.

        :returns: ``Ok`` or ``Err(PlatformUnavailable)``.
        """
        body = protocol.encode(report)
        return await self.call('POST', protocol.EVIDENCE_PATH, body=body)

    async def report_crashes(self, report):
        """Send a :class:`crash_reports.CrashReport`.

        :returns: ``Ok`` or ``Err(PlatformUnavailable)``.
        """
        body = protocol.encode(report)
        return await self.call('POST', crash_protocol.PATH, body=body)

    async def crash_evidence(self, after, own):
        """Read evidence of crashes from an entry on.

        :param members.Member own: this router, which introduces itself.
        :returns: ``Ok`` with a :class:`crash_reports.CrashReport`, or
            ``Err``.
        """
        path = crash_protocol.evidence_path(after, own)
        answer = await self.call('GET', path)
        return answer.and_then(
            lambda body: self.decode(decode_crashes, 'crashes', body)
        )


def decode_crashes(kind, body):
    """Return the :class:`crash_reports.CrashReport` in a body.

    :param str kind: not used.
    :raises msgspec.DecodeError: if the body is malformed.
    """
    return crash_protocol.read_report(body)
