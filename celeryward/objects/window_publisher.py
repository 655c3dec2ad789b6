"""A task that writes service windows to the platform."""

import curio
import msgspec
import result

from celeryward import errors
from celeryward import logs
from celeryward.objects import protocol
from celeryward.operators import windows

PUBLISH_INTERVAL_SECONDS = 60.0


class WindowPublisher:
    """Writes the changed windows of a recorder periodically.

    :param recorder: :class:`windows.Recorder`.
    :param client: :class:`client.ObjectClient`.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, recorder, client, clock):
        self.recorder = recorder
        self.client = client
        self.clock = clock
        self.revisions = {}

    async def run(self):
        """Publish periodically until cancelled."""
        while True:
            await curio.sleep(PUBLISH_INTERVAL_SECONDS)
            await self.publish()

    async def publish(self):
        """Write each changed window; return whether all were stored."""
        stored = True
        for window in self.recorder.changed_windows():
            outcome = await self.write(window)
            if outcome.is_ok():
                self.recorder.mark_written(window, self.clock())
                continue
            stored = False
            error = outcome.unwrap_err()
            logs.bind_error(error).warning(
                'service window not written: {}', error.message
            )
        return stored

    async def write(self, window):
        """Create or replace the object of a window.

        Only this daemon writes the object. A conflict therefore means that
        an earlier write succeeded although its response was lost.
        """
        window_object = to_object(window)
        revision = self.revisions.get(window_object.name, 0)
        if revision:
            outcome = await self.client.put(window_object, revision)
        else:
            outcome = await self.client.create(window_object)
        if outcome.is_err() and isinstance(
            outcome.unwrap_err(), errors.Conflict
        ):
            current = outcome.unwrap_err().current
            if current is not None:
                outcome = await self.client.put(
                    window_object, current.revision
                )
        if outcome.is_ok():
            self.revisions[window_object.name] = outcome.unwrap().revision
        return outcome


def to_object(window):
    """Return a window as an object to store."""
    spec = msgspec.to_builtins(window)
    return protocol.StoredObject(windows.WINDOW_KIND, window.name, spec)


def from_object(stored):
    """Decode the window in a stored object.

    :returns: ``Ok(Window)`` or ``Err(BadInput)``.
    """
    try:
        return result.Ok(msgspec.convert(stored.spec, windows.Window))
    except msgspec.ValidationError as error:
        return result.Err(
            errors.BadInput(
                f'{stored.kind}/{stored.name}: {error}',
                step='read window',
                peer=stored.name,
            )
        )
