"""Registries that decorators fill."""

from celeryward import errors


class Registry:
    """Maps names to the functions or classes registered under them.

    :param str kind: what the entries are, used in error messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self.entries = {}

    def register(self, name):
        """Return a decorator that stores its argument under a name.

        :param name: hashable key of the entry.
        :raises ValueError: if the name is taken.
        """

        def store(entry):
            if name in self.entries:
                raise ValueError(f'{self.kind} {name!r} is registered twice')
            self.entries[name] = entry
            return entry

        return store

    def get(self, name):
        """Return the entry with a name.

        :raises errors.BadInput: if there is none; the message lists the
            known names.
        """
        if name not in self.entries:
            known = ', '.join(str(known) for known in sorted(self.entries))
            raise errors.BadInput(
                f'unknown {self.kind} {name!r}; known: {known}',
                step='registry',
                peer=self.kind,
            )
        return self.entries[name]
