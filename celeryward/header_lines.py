"""Header lines that concern a single connection."""

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
    """Return header lines without those of a single connection."""
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
