"""Dispatches of one request that are under way at the same time.

No answer that may still come is given up before another one is there. While
an answer is late, another endpoint runs the request as well, and whichever has
the next part of the answer first goes on. The answer of a small model is held
unread until the larger model answers, and goes on if that fails. Answers
endpoints that fall silent or fail, one alone or many at the same moment.
"""

import contextlib
import dataclasses

import curio

from celeryward.callers import hedges
from celeryward.callers import relayed_requests
from celeryward.callers import resumption
from celeryward.endpoints import answers
from celeryward.endpoints import event_stream
from celeryward.endpoints import forwarding
from celeryward import errors


# Time for which the first events of a hedge are kept. A run that another one
# replaces has to end soon after that one has begun.
CONFIRMATION_SECONDS = 0.25
# An answer is held no longer than this time before the deadline or the end of
# a stop.
HELD_RESERVE_SECONDS = 0.25
HOLD_CHECK_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one dispatch.

    :param relayed_requests.Dispatch dispatch: the dispatch.
    :param answers.Answer answer: None after an error.
    :param bytes content: the body, unless the answer was relayed already.
    :param bool relayed: whether the caller has the answer.
    :param errors.EndpointFailure error: None for an answer.
    """

    dispatch: relayed_requests.Dispatch
    answer: answers.Answer | None = None
    content: bytes = b''
    relayed: bool = False
    error: errors.EndpointFailure | None = None

    @property
    def failed(self):
        """Whether another dispatch may still give a better answer."""
        if self.error is not None:
            return True
        return not self.relayed and forwarding.is_server_error(
            self.answer.head
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """An answer that waits for that of a larger model.

    :param runs.Run run: the run that gives it.
    :param curio.Event released: set when it need not wait any more.
    """

    run: object
    released: curio.Event


class Race:
    """The dispatches of one request that are under way at the same time.

    ``tasks`` holds the task of each dispatch that may still go on, by its run,
    and ``deferred`` the events of those that are not confirmed. ``held`` is
    the :class:`Held` answer of a small model, or None.

    :param relay.Relay relay: has the components that dispatch.
    :param relayed_requests.RelayedRequest relayed: the request.
    :param responses.Responder responder: writes to the caller.
    """

    def __init__(self, relay, relayed, responder):
        self.relay = relay
        self.relayed = relayed
        self.responder = responder
        self.group = curio.TaskGroup(wait=None)
        self.tasks = {}
        self.deferred = {}
        self.sending = curio.Lock()
        self.held = None
        self.plans = []

    async def run(self, plan):
        """Return the :class:`Outcome` of the dispatch that answers.

        That of the last one is returned if all have failed.
        """
        try:
            async with self.group:
                await self.start(plan)
                async for task in self.group:
                    if task.cancelled or task.result is None:
                        # Another dispatch went on.
                        continue
                    outcome = task.result
                    if not outcome.failed:
                        break
                    await self.record_failure(outcome)
                    await self.replace(outcome)
        finally:
            for each in self.plans:
                await self.relay.forwarder.notice_reader.give_back(each.place)
        return outcome

    async def start(self, plan):
        """Start a dispatch; return its task."""
        if plan.place is None:
            plan = self.relay.planner.reserve(plan)
        self.plans.append(plan)
        # Counted before its task runs, so that no other one takes its attempt.
        self.relayed.dispatches += 1
        task = await self.group.spawn(self.fetch, plan)
        # Its error is raised where its result is read.
        task.report_crash = False
        return task

    async def fetch(self, plan):
        """Dispatch once; return the :class:`Outcome`.

        None if another dispatch went on meanwhile.
        """
        relayed = self.relayed
        dispatcher = self.relay.dispatcher
        with dispatcher.begin(relayed, plan) as dispatch:
            self.tasks[dispatch.run] = await curio.current_task()
            hedge = hedges.Hedge(self, dispatch)
            try:
                async with dispatcher.open_answer(
                    relayed, dispatch, hedge.start
                ) as answer:
                    return await self.take_answer(dispatch, answer)
            except errors.EndpointFailure as error:
                dispatcher.note_break(dispatch, error)
                # Events that were kept may be in the middle of their write.
                async with self.sending:
                    if dispatch.run not in self.tasks:
                        return None
                    return Outcome(dispatch, error=error)
            finally:
                self.tasks.pop(dispatch.run, None)
                self.deferred.pop(dispatch.run, None)

    async def take_answer(self, dispatch, answer):
        """Relay the events of an answer, or return it with its content."""
        if self.responder.started:
            self.check_resumption(dispatch, answer)
        elif not forwarding.is_server_error(answer.head):
            await self.wait_for_larger(dispatch, answer)
        is_stream = forwarding.is_stream(self.relayed.route)
        if (
            is_stream
            and answer.is_event_stream
            and not forwarding.is_server_error(answer.head)
        ):
            return await self.relay_events(dispatch, answer)
        body = await answer.body(self.relayed.hold_answer(answer.connection))
        outcome = Outcome(dispatch, answer, body)
        if outcome.failed or await self.claim(dispatch):
            return outcome
        return None

    async def wait_for_larger(self, dispatch, answer):
        """Let a larger model run if it is worth more; return if it fails.

        If it answers, this dispatch is cancelled. If the deadline is near,
        both go on.
        """
        if dispatch.run not in self.tasks:
            return
        plan = self.relay.escalation.secure(self.relayed, dispatch, answer)
        if plan is None:
            return
        await self.claim(dispatch)
        self.relayed.size = plan.size
        self.held = Held(dispatch.run, curio.Event())
        released = self.held.released
        await self.start(plan)
        while not released.is_set() and (seconds := self.hold_seconds()):
            async with curio.ignore_after(seconds):
                await released.wait()
        await released.set()
        answer.wait.begin_next()

    def hold_seconds(self):
        """Return for how long an answer is held before the next look.

        0.0 if too little time is left for it: a stop may begin meanwhile.
        """
        stop = self.relay.router_state.completion.stop
        left = min(self.relayed.deadline.remaining(), stop.seconds_left())
        return min(HOLD_CHECK_SECONDS, max(0.0, left - HELD_RESERVE_SECONDS))

    async def relay_events(self, dispatch, answer):
        """Relay the events of a stream as they arrive.

        :returns: the :class:`Outcome`, None if another dispatch went on.
        """
        sequence = self.relayed.sequence.copy()
        start_id = sequence.last
        resumed = self.responder.started
        # The answer of a small model is held until there is a first event.
        replaces = self.is_holding()
        if not (resumed or replaces):
            if not await self.claim(dispatch):
                return None
            await self.send(dispatch, answer)
        async with contextlib.aclosing(answer.events(sequence)) as batches:
            async for batch in batches:
                if resumed and await self.defer(dispatch, answer, batch):
                    continue
                if not await self.claim(dispatch):
                    return None
                await self.send(dispatch, answer, batch)
                await self.relay.dispatcher.record_events(
                    self.relayed, dispatch, sequence.last - start_id
                )
        if resumed or replaces:
            resumption.check_rest(answer, sequence.last - start_id)
        if not await self.claim(dispatch):
            return None
        await self.send(dispatch, answer, is_last=True)
        return Outcome(dispatch, answer, relayed=True)

    async def defer(self, dispatch, answer, batch):
        """Keep the first events of a hedge while the late answer may go on.

        A hedge that falls silent itself must not replace an answer that is
        about to go on. It is confirmed by further events, or after a while.

        :returns: whether the events were kept.
        """
        if len(self.tasks) == 1 or dispatch.run in self.deferred:
            return False
        self.deferred[dispatch.run] = tuple(batch)
        task = await self.group.spawn(
            self.confirm, dispatch, answer, daemon=True
        )
        # The dispatch itself meets the error of a caller that has left.
        task.report_crash = False
        return True

    async def confirm(self, dispatch, answer):
        """Let a hedge go on after a while, if nothing else did."""
        await curio.sleep(CONFIRMATION_SECONDS)
        if await self.claim(dispatch):
            await self.send(dispatch, answer)

    async def send(self, dispatch, answer, batch=(), is_last=False):
        """Send events to the caller, the head and those that were kept first.

        :param bool is_last: whether the answer ends after them.
        """
        async with self.sending:
            if not self.responder.started:
                await self.responder.start_stream(answer.head)
            events = (*self.deferred.pop(dispatch.run, ()), *batch)
            if events:
                # A run's own sequence also counts events that are kept.
                self.relayed.sequence = event_stream.EventSequence(
                    events[-1].number
                )
                await self.responder.send(
                    b''.join(event.raw for event in events)
                )
            if is_last:
                await self.responder.finish()

    async def claim(self, dispatch):
        """End all other dispatches; this one has the next part.

        :returns: False if another dispatch has done so before, or has ended
            the answer meanwhile.
        """
        if dispatch.run not in self.tasks:
            return False
        if len(self.tasks) == 1:
            return True
        task = self.tasks.pop(dispatch.run)
        others = tuple(self.tasks.values())
        # Nothing may interrupt this up to here, so that one claim wins.
        self.tasks.clear()
        self.tasks[dispatch.run] = task
        self.held = None
        self.relayed.size = dispatch.plan.size
        self.relayed.deliveries += len(others)
        self.relayed.runs += len(others)
        # A write that is cut off inside would end the caller's connection.
        async with self.sending:
            for other in others:
                await other.cancel(blocking=False)
        return not self.responder.finished

    async def record_failure(self, outcome):
        """Record a failed dispatch; another one may still answer."""
        dispatcher = self.relay.dispatcher
        if outcome.error is not None:
            failure = (self.relayed, outcome.dispatch, outcome.error)
            dispatcher.record_error(*failure)
            # The answer of another dispatch must not wait for this.
            task = await self.group.spawn(dispatcher.find_crash, *failure)
            task.report_crash = False
            return
        dispatcher.record_error_answer(self.relayed, outcome.dispatch)
        self.relayed.failed_answer = (outcome.answer.head, outcome.content)

    async def replace(self, outcome):
        """Let a held answer go on after a larger model has failed.

        If the failed dispatch has not run, another endpoint runs the larger
        model.
        """
        if not self.is_holding():
            return
        plan = None
        if outcome.error is not None and not outcome.error.sent:
            plan = self.relay.replacements.secure(self.relayed)
        if plan is None:
            await self.held.released.set()
        else:
            await self.start(plan)

    def is_holding(self):
        """Return whether the answer of a small model waits."""
        return self.held is not None and not self.held.released.is_set()

    def check_resumption(self, dispatch, answer):
        """Check that an answer continues the stream of the caller.

        :raises errors.AnswerInvalid: if it doesn't.
        """
        if forwarding.is_server_error(answer.head):
            runs = self.relay.router_state.releases.runs
            runs.end(dispatch.run, failed=True)
        resumption.check_answer(answer)
