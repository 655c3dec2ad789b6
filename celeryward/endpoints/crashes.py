"""Crashes of endpoints, with the requests that ran there.

Requests are told apart by what they share with others: the parts of their
prompts, and the fingerprint of the whole request.
"""

import dataclasses

import xxhash

# Longer ids of parts are replaced by a hash.
MAX_PART_CHARACTERS = 40
# Parts of one request that count, so that a report stays within a message.
MAX_PARTS = 8
# Requests of one crash that one host reports, and that are kept of all hosts.
MAX_REQUESTS = 32
MAX_MERGED_REQUESTS = 96


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What a request shares with others of its service.

    :param str fingerprint: the same for requests with the same content.
    :param tuple parts: ids of the parts of its prompt. The last part belongs
        to the request or its session and is left out.
    :param bool is_cleared: whether the fingerprint is no evidence any more,
        so that it only tells the request from others.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    is_cleared: bool = False

    def all(self):
        """Return what is evidence, the parts and the fingerprint, as a set."""
        if self.is_cleared:
            return frozenset(self.parts)
        return frozenset((*self.parts, self.fingerprint))

    def without(self, traits):
        """Return the traits of which some are no evidence any more."""
        if traits.isdisjoint(self.all()):
            return self
        parts = tuple(part for part in self.parts if part not in traits)
        is_cleared = self.is_cleared or self.fingerprint in traits
        return RequestTraits(self.fingerprint, parts, is_cleared)


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of an endpoint's process while requests ran there.

    :param str endpoint: id of the endpoint.
    :param float started_at: start of the process, as in
        :class:`runners.Runner`; with the id it identifies the crash. 0.0 if
        it is not known.
    :param float at: monotonic seconds of this host.
    :param tuple requests: :class:`RequestTraits` of the requests.
    :param bool is_trial: whether a request that was refused before ran there
        on trial.
    """

    endpoint: str
    started_at: float
    service: str
    at: float
    requests: tuple[RequestTraits, ...]
    is_trial: bool = False

    @property
    def key(self):
        """Unique key of the crash."""
        return (self.endpoint, self.started_at)

    def traits(self):
        """Return the traits of all requests as a set."""
        return {trait for request in self.requests for trait in request.all()}

    def without(self, traits):
        """Return the crash without some traits.

        A request of which no evidence is left is left out.
        """
        left = (request.without(traits) for request in self.requests)
        kept = tuple(request for request in left if request.all())
        return dataclasses.replace(self, requests=kept)


def traits_of_parts(part_ids):
    """Return the traits of the parts that other requests may share.

    Of a long prompt these are the last ones, which fewer requests share.

    :param part_ids: ids of all parts in order. The last part belongs to the
        request itself.
    """
    return tuple(map(trait_of_part, part_ids[:-1][-MAX_PARTS:]))


def trait_of_part(part_id):
    """Return the trait that stands for a part of a prompt."""
    if len(part_id) <= MAX_PART_CHARACTERS:
        return part_id
    return xxhash.xxh64_hexdigest(part_id.encode(errors='surrogatepass'))


def fingerprint(*contents):
    """Return the fingerprint of a request with the given contents.

    :param contents: bytes objects that identify it.
    """
    digest = xxhash.xxh64()
    for content in contents:
        digest.update(len(content).to_bytes(8, 'big'))
        digest.update(content)
    return f'request-{digest.hexdigest()}'


def merge(known, crash):
    """Return a crash with what two reports say of it.

    :param known: an earlier report, or None.
    """
    if known is None:
        return crash
    found = {request.fingerprint: request for request in known.requests}
    for request in crash.requests:
        if request.fingerprint not in found:
            found[request.fingerprint] = request
    return dataclasses.replace(
        known,
        at=min(known.at, crash.at),
        requests=tuple(found.values())[:MAX_MERGED_REQUESTS],
        is_trial=known.is_trial or crash.is_trial,
    )
