"""Checks of what endpoints tell routers in their answers.

An endpoint tells one router at a time, so that each router is judged by the
answers to its own requests.
"""

import collections

from benchmarks.soak import checks

MAX_LEAVING_SECONDS = 2.0
# A router may need this long to stop sending after it was turned away.
COMPLY_SECONDS = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
# A process that starts anew has not been told.
RESTARTS = ('router-kill', 'router-pause', 'router-stop')


@checks.CHECKS.register('announced-departures')
def check_announced_departures(observed):
    """An endpoint that said that it leaves gets no new requests."""
    outcomes = {each.request_id: each for each in observed.outcomes}
    told_at = {}
    for announcement in observed.announced:
        outcome = outcomes.get(announcement.request_id)
        if outcome is None or not outcome.whole:
            continue
        key = outcome.router, announcement.endpoint
        told_at[key] = min(outcome.ended_at, told_at.get(key, float('inf')))
    for execution in observed.executions:
        outcome = outcomes.get(execution.request_id)
        if outcome is None:
            continue
        told = told_at.get((outcome.router, execution.endpoint))
        if told is None or outcome.started_at - told <= MAX_LEAVING_SECONDS:
            continue
        if observed.overlaps_fault(
            told, execution.at, RESTARTS, outcome.router
        ):
            continue
        yield (
            execution.request_id,
            f'{outcome.started_at - told:.2f} s after'
            f' {execution.endpoint} said that it leaves',
        )


@checks.CHECKS.register('pauses')
def check_pauses(observed):
    """An endpoint that asked a router for a pause gets two requests at most.

    They are counted from half a second after the answer to the pause's end.
    """
    arrivals = arrivals_by_router(observed)
    for refusal, router in refusals_with_router(observed):
        if not refusal.undisturbed or observed.overlaps_fault(
            refusal.at, refusal.until, RESTARTS, router
        ):
            continue
        begin = refusal.at + COMPLY_SECONDS
        found = [
            at
            for at in arrivals[(router, refusal.endpoint)]
            if begin < at < refusal.until
        ]
        if len(found) > MAX_ARRIVALS_IN_PAUSE:
            yield (
                refusal.request_id,
                f'{refusal.endpoint} got {len(found)} requests in the pause',
            )


def arrivals_by_router(observed):
    """Return the times of undisturbed arrivals by router and endpoint."""
    routers = {each.request_id: each.router for each in observed.outcomes}
    found = collections.defaultdict(list)
    for arrival in (*observed.executions, *observed.turned_away):
        router = routers.get(arrival.request_id)
        if arrival.undisturbed:
            found[(router, arrival.endpoint)].append(arrival.at)
    return found


def refusals_with_router(observed):
    """Yield each refusal and the router that sent the request."""
    routers = {each.request_id: each.router for each in observed.outcomes}
    for refusal in observed.turned_away:
        if refusal.request_id in routers:
            yield refusal, routers[refusal.request_id]
