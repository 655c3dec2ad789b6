"""Stand-in of a plain service that counts executions by request id."""

import collections

import curio

from celeryward import http
from celeryward.standins import base


class ServiceStandIn(base.StandIn):
    """Counts the executions of each request id.

    Attributes that inject faults: ``lose_answers`` executes requests, then
    closes the connection without a response; ``delay_seconds`` delays each
    response.
    """

    def __init__(self, port=0):
        super().__init__(port)
        self.executed = collections.Counter()
        self.lose_answers = False
        self.delay_seconds = 0.0
        self.leaving = False

    async def answer(self, connection, received):
        """Execute one request, or report the load."""
        if received.head.path == '/load':
            report = {'running': 0, 'capacity': 64, 'leaving': self.leaving}
            await base.send_json(connection, 200, report)
            return
        request_id = received.head.headers.get('x-request-id', '')
        self.executed[request_id] += 1
        if self.delay_seconds:
            await curio.sleep(self.delay_seconds)
        if self.lose_answers:
            raise http.Disconnected(
                'stand-in drops the response',
                step='answer',
                peer=connection.peer,
            )
        answer = {
            'method': received.head.method,
            'path': received.head.target,
            'executed': self.executed[request_id],
        }
        echo = {'x-request-id': request_id}
        await base.send_json(connection, 200, answer, echo)
