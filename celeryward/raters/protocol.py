"""Wire format of the answer-rating service: JSON over HTTP/1.1."""

import dataclasses
import typing

import msgspec

from celeryward import decoding

RATINGS_PATH = '/ratings'


@dataclasses.dataclass(frozen=True, slots=True)
class RatingRequest:
    """One answer to rate.

    :param str task: kind of request, such as ``chat``.
    """

    request_id: str
    model: str
    version: str
    task: str
    prompt_tokens: int
    answer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rating:
    """The score of one answer, from 0 to 1."""

    score: typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


RATING_DECODER = msgspec.json.Decoder(Rating)


def encode_request(request):
    """Return a rating request as JSON bytes."""
    return msgspec.json.encode(request)


def decode_rating(body):
    """Return the :class:`Rating` in a body.

    :raises msgspec.DecodeError: if the body is malformed.
    """
    return decoding.decode(RATING_DECODER, body)
