"""HTTP/1.1 messages as the stand-ins read and write them."""

import asyncio
import dataclasses
import json

MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass
class Message:
    """The start line, the header and the body of a message."""

    start: tuple
    headers: dict
    body: bytes = b''

    def json(self):
        """Return the body decoded from JSON."""
        return json.loads(self.body or b'null')

    @property
    def status(self):
        """The status of a response."""
        return int(self.start[1])


async def read_head(reader):
    """Return the next message without its body, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError('cut inside a head') from error
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(tuple(lines[0].split(' ', 2)), headers)


async def read_body(reader, headers):
    """Return the body that belongs to a header."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        pieces = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b''.join(pieces)
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_message(reader):
    """Return the next whole message, None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message.headers)
    return message


def request_bytes(method, target, headers, body=b''):
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method in ('POST', 'PUT'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def response_bytes(status, headers, body=b''):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def json_response(status, value):
    """Return the bytes of a response with a JSON body."""
    headers = {'Content-Type': 'application/json'}
    return response_bytes(status, headers, json.dumps(value).encode())
