"""Client of the answer-rating service."""

import msgspec
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.raters import protocol


class RaterUnavailable(errors.CelerywardError):
    """The rating service did not answer in time, or not correctly."""

    code = 'rater_unavailable'


RATER_ERRORS = (
    errors.EndpointFailure,
    *http.EXCHANGE_ERRORS,
    msgspec.DecodeError,
)


class RaterClient:
    """Requests scores from the rating service.

    :param settings.Address address: None if there is no rating service.
    :param float timeout: seconds allowed for one rating, connect included.
    """

    def __init__(self, address, timeout):
        self.address = address
        self.timeout = timeout

    async def rate(self, request, deadline):
        """Return ``Ok(Rating)`` or ``Err(RaterUnavailable)``."""
        if self.address is None:
            return result.Err(
                self.unavailable('no rating service is configured', 'none')
            )
        limit = deadlines.Deadline.after(self.timeout).earlier(deadline)
        peer = f'{self.address.host}:{self.address.port}'
        try:
            connection = await http.connect(
                self.address.host, self.address.port, limit
            )
            try:
                response, body = await http.exchange(
                    connection,
                    'POST',
                    protocol.RATINGS_PATH,
                    {'content-type': 'application/json'},
                    protocol.encode_request(request),
                    limit,
                )
            finally:
                await connection.close()
            if response.status != 200:
                reason = f'rating service responded with {response.status}'
                return result.Err(self.unavailable(reason, peer))
            return result.Ok(protocol.decode_rating(body))
        except RATER_ERRORS as error:
            return result.Err(self.unavailable(str(error), peer))

    def unavailable(self, reason, peer):
        """Return the error for an answer that can't be rated."""
        return RaterUnavailable(
            f'no rating: {reason}', step='rate answer', peer=peer
        )
