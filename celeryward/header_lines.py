"""Hop-by-hop and end-to-end header fields (RFC 9110, section 7.6.1)."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def end_to_end_lines(lines):
    """Return header lines without the hop-by-hop ones."""
    dropped = hop_by_hop_names(lines)
    return [
        (name, value) for name, value in lines if name.lower() not in dropped
    ]


def hop_by_hop_names(lines):
    """Return the lower-case names of the fields that are hop-by-hop.

    Fields that a Connection header names are so, too.
    """
    options = [value for name, value in lines if name.lower() == b'connection']
    if not options:
        return HOP_BY_HOP_HEADERS
    return HOP_BY_HOP_HEADERS.union(
        token.strip().lower()
        for value in options
        for token in value.split(b',')
    )
