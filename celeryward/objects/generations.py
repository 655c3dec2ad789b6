"""The generation of the store's data.

A store that is restored from an older copy of its data increases its
generation by one. Revisions are comparable within one generation only.
"""

import dataclasses

from celeryward import logs
from celeryward.objects import ignored

# A higher value is ignored: it would make every later response look outdated.
MAX_GENERATION = 2**31 - 1
MAX_DIGITS = len(str(MAX_GENERATION))


class Generations:
    """Keeps the highest generation that was seen; None for none.

    ``listeners`` are called without arguments when the store has returned
    from an older copy, before anything of the new generation is applied.

    :param ignored_entries: :class:`ignored.IgnoredEntries`.
    """

    def __init__(self, ignored_entries=None):
        self.ignored = ignored_entries or ignored.IgnoredEntries()
        self.current = None
        self.listeners = []

    def accept_head(self, headers, name):
        """Return whether a response may be used, by its header.

        A header that can't be read is ignored and counted.

        :param dict headers: headers of the response, by lower-case name.
        :param str name: name of the header; empty if the store has none.
        """
        if not name or name not in headers:
            return True
        generation = read_generation(headers[name])
        if generation is None:
            self.ignored.record('generation', '', 'no integer within bounds')
            return True
        return self.accept(generation)

    def accept_relayed(self, generation):
        """Return whether data that another router relays may be used.

        One that knows no generation may have data of an earlier one.
        """
        if generation is None:
            return self.current is None
        return self.accept(generation)

    def accept(self, generation):
        """Keep a generation unless it is lower; return whether it isn't."""
        previous = self.current
        if previous is not None and generation <= previous:
            return generation == previous
        self.current = generation
        if previous is not None:
            logs.bind(
                step='follow', peer='store', old=previous, new=generation
            ).warning('store data has a new generation')
            for listener in self.listeners:
                listener()
        return True

    def stamp(self, answer):
        """Return the list or changes in a response with its generation.

        There must be no wait between the acceptance of the response and this
        call, so that no other response has changed the generation.
        """
        if self.current is None:
            return answer
        return dataclasses.replace(answer, generation=self.current)


def read_generation(text):
    """Return the generation in a header; None if it is out of bounds."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    generation = int(text)
    return generation if generation <= MAX_GENERATION else None
