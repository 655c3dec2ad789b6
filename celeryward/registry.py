"""Registries that are filled by decorators."""

from celeryward import errors


class Registry:
    """Maps names to the functions or classes registered under them.

    :param str kind: noun for the entries, used in error messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self.entries = {}

    def register(self, name):
        """Return a decorator that registers its argument under a name.

        :param name: hashable key of the entry.
        :raises ValueError: if the name is taken.
        """

        def decorate(entry):
            if name in self.entries:
                raise ValueError(f'{self.kind} {name!r} is registered twice')
            self.entries[name] = entry
            return entry

        return decorate

    def get(self, name):
        """Return the entry registered under a name.

        :raises errors.BadInput: if there is none; the message lists the
            registered names.
        """
        if name not in self.entries:
            known = ', '.join(str(key) for key in sorted(self.entries))
            raise errors.BadInput(
                f'unknown {self.kind} {name!r}; known: {known}',
                step='registry',
                peer=self.kind,
            )
        return self.entries[name]
