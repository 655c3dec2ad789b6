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
    """Return header lines without the hop-by-hop ones.

    Fields that a Connection header names are hop-by-hop, too.
    """
    connection_options = set()
    for name, value in lines:
        if name.lower() == b'connection':
            connection_options.update(
                token.strip().lower() for token in value.split(b',')
            )
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [
        (name, value) for name, value in lines if name.lower() not in dropped
    ]
