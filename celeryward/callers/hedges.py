"""Starts another dispatch of a request while the answer of one is late."""

from celeryward.callers import replacements
from celeryward.endpoints import forwarding


class Hedge:
    """Starts another dispatch while the answer of one is late.

    :param Race race: the dispatches of the request.
    :param relayed_requests.Dispatch dispatch: whose answer is awaited.
    """

    def __init__(self, race, dispatch):
        self.race = race
        self.dispatch = dispatch
        self.task = None
        self.is_counted = False

    async def start(self, waited_seconds, head_arrived, is_lost=False):
        """Start the other dispatch if one is secured; keep the late answer.

        An answer that is held goes on instead. Otherwise the late answer
        counts as a failure of its endpoint, and another dispatch may follow
        once the first one has failed.

        :param float waited_seconds: time waited for the part that is late.
        :param bool head_arrived: whether the answer has begun.
        :param bool is_lost: whether the endpoint accepts no connection.
        """
        race = self.race
        relayed = race.relayed
        is_stream = forwarding.is_stream(relayed.route)
        if not self.is_awaited() or not replacements.is_late(
            is_stream, waited_seconds, head_arrived, is_lost
        ):
            return
        if race.is_holding():
            self.log(waited_seconds, 'late answer replaced by a smaller one')
            await race.held.released.set()
            return
        plan = race.relay.replacements.secure(relayed)
        if plan is None:
            return
        if not self.is_counted:
            self.is_counted = True
            race.relay.dispatcher.record_late_answer(self.dispatch)
        self.log(waited_seconds, 'late answer hedged')
        self.task = await race.start(plan)

    def is_awaited(self):
        """Return whether nothing but the late answer itself is awaited.

        It isn't if another dispatch has gone on, if the other dispatch is
        under way, or if the answer is held.
        """
        race = self.race
        if self.dispatch.run not in race.tasks:
            return False
        if race.is_holding() and race.held.run is self.dispatch.run:
            return False
        return self.task is None or self.task.terminated

    def log(self, waited_seconds, message):
        """Log what follows from the late answer."""
        self.race.relay.dispatcher.log_late(
            self.race.relayed, self.dispatch, waited_seconds, message
        )
