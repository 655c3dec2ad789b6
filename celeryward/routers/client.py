"""Client of another router."""

import itertools

import result

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.objects import client
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
        return super().check_status(status, body, method, path, kind)

    async def report(self, report):
        """Send a :class:`protocol.EvidenceReport`.

        One whose response is lost may be sent again; it counts once.

        :returns: ``Ok`` or ``Err(PlatformUnavailable)``.
        """
        deadline = deadlines.Deadline.after(self.timeout)
        path = protocol.EVIDENCE_PATH
        try:
            use = self.connection_use('POST', '')
            async with self.connections.lease(deadline, use) as connection:
                response, body = await self.exchange(
                    connection,
                    'POST',
                    path,
                    {},
                    protocol.encode(report),
                    deadline,
                )
        except client.TRANSPORT_ERRORS as error:
            return result.Err(self.classify(error, 'GET', path))
        return self.check_status(response.status, body, 'GET', path)
