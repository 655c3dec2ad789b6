"""Sessions that change their version without need during a roll-out.

10,000 sessions of virtual time run through a roll-out whose share grows,
shrinks and grows to its end, over daemons that restart, learn of changes
late and rotate their keys one after the other. No version is withdrawn, so
each change of version is one without need. Usage:
python -m benchmarks.sessions --seed N
"""

import argparse
import bisect
import dataclasses
import random
import uuid

from celeryward.callers import admission
from celeryward.callers import sessions
from celeryward.callers import version_selection
from celeryward import calls
from celeryward import catalog
from celeryward import deadlines
from celeryward import errors

SESSIONS = 10_000
DAEMONS = 7
HOUR_SECONDS = 3_600.0
DAY_SECONDS = 24 * HOUR_SECONDS
LONGEST_LAG_SECONDS = 10.0
MEAN_SESSION_SECONDS = 1_800.0
MEAN_PAUSE_SECONDS = 300.0
RESTARTS = 200
FINISHED_AT = 14 * HOUR_SECONDS
SHARES = (
    (0.0, 0.0),
    (2 * HOUR_SECONDS, 0.01),
    (4 * HOUR_SECONDS, 0.25),
    (6 * HOUR_SECONDS, 0.1),
    (8 * HOUR_SECONDS, 0.5),
    (10 * HOUR_SECONDS, 1.0),
    (FINISHED_AT, 1.0),
)
# Each step reaches the daemons one after the other within an hour.
KEY_STEPS = (
    (0.0, ['first-signing-key']),
    (5 * HOUR_SECONDS, ['second-signing-key', 'first-signing-key']),
    (7 * HOUR_SECONDS, ['first-signing-key', 'second-signing-key']),
    (22 * HOUR_SECONDS, ['second-signing-key']),
)
CUSTOMER = catalog.Customer('customer', allowed=('m',))


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Request:
    """One request of a session at a daemon."""

    at: float
    session: int
    daemon: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A seeded sequence that every method to keep sessions goes through."""

    requests: tuple[Request, ...]
    begins: dict[int, float]
    lags: tuple[float, ...]
    restarts: tuple[tuple[float, int], ...]


def make_plan(seed):
    """Return the :class:`Plan` of a seed."""
    rng = random.Random(seed)
    begins = {
        number: rng.uniform(0, DAY_SECONDS) for number in range(SESSIONS)
    }
    requests = []
    for number, begin in begins.items():
        end = begin + rng.expovariate(1 / MEAN_SESSION_SECONDS)
        at = begin
        while at <= end:
            requests.append(Request(at, number, rng.randrange(DAEMONS)))
            at += rng.expovariate(1 / MEAN_PAUSE_SECONDS)
    lags = [rng.uniform(0, LONGEST_LAG_SECONDS) for _ in range(DAEMONS)]
    restarts = [
        (rng.uniform(0, DAY_SECONDS), rng.randrange(DAEMONS))
        for _ in range(RESTARTS)
    ]
    return Plan(
        tuple(sorted(requests)),
        begins,
        tuple(lags),
        tuple(sorted(restarts)),
    )


def make_catalog(at, share):
    """Return the catalog that is in force from a time on."""
    versions = [catalog.ModelVersion('m', number) for number in ('1', '2')]
    finished = at >= FINISHED_AT
    state = catalog.RolloutState.RUNNING
    if finished:
        state = catalog.RolloutState.FINISHED
    rollout = catalog.Rollout(
        'm-2', 'm', '1', '2', share, state, FINISHED_AT * finished
    )
    return catalog.Catalog(
        customers={CUSTOMER.name: CUSTOMER},
        versions={version.name: version for version in versions},
        rollouts={rollout.name: rollout},
    )


CATALOGS = [make_catalog(at, share) for at, share in SHARES]
STARTS = [at for at, _ in SHARES]


def catalog_at(seconds):
    """Return the catalog in force at a time."""
    return CATALOGS[max(0, bisect.bisect(STARTS, seconds) - 1)]


class Daemons:
    """The signers of all daemons, with restarts and key rotation.

    :param Plan plan: lags and restarts.
    """

    def __init__(self, plan):
        self.plan = plan
        self.restarts = list(plan.restarts)
        self.signers = {}
        self.steps = {}

    def signer(self, request):
        """Return the signer of a daemon at the time of a request."""
        while self.restarts and self.restarts[0][0] <= request.at:
            self.signers.pop(self.restarts.pop(0)[1], None)
        late = request.daemon / DAEMONS * HOUR_SECONDS
        keys = [keys for at, keys in KEY_STEPS if at + late <= request.at]
        keys = (keys or [KEY_STEPS[0][1]])[-1]
        known = self.signers.get(request.daemon)
        if known is None or self.steps[request.daemon] != keys:
            known = sessions.SessionSigner(keys)
            self.signers[request.daemon] = known
            self.steps[request.daemon] = keys
        return known

    def current(self, request):
        """Return the catalog that a daemon holds at a request."""
        return catalog_at(request.at - self.plan.lags[request.daemon])


def by_hash(plan, daemons, request, held):
    """Place by plain hashing of the session id against the share."""
    current = daemons.current(request)
    rollout = current.rollouts['m-2']
    if rollout.state is catalog.RolloutState.FINISHED:
        return '2'
    in_share = sessions.in_share(f'session-{request.session}', rollout)
    return '2' if in_share else '1'


def place(daemons, request, token='', own_id=''):
    """Place a request as a daemon does; return the new session."""
    call = calls.Call(
        f'request-{request.session}-{request.at}',
        CUSTOMER,
        deadlines.NEVER,
        calls.ChatRequest('m', ()),
        session_token=token,
        session_id=own_id,
    )
    signer = daemons.signer(request)
    session = sessions.open_session(signer, call, request.at)
    route = admission.ChatRoute(('m',))
    placed = version_selection.select_version(
        daemons.current(request), call, route, 'm', session, age=0.0
    )
    return errors.unwrap(placed).session


def by_token(plan, daemons, request, held):
    """Place by the token of the session's last answer."""
    token = held.get(request.session, '')
    session = place(daemons, request, token=token)
    held[request.session] = daemons.signer(request).sign(session)
    return session.versions['m']


def by_own_id(plan, daemons, request, held):
    """Place by an id without a start."""
    own_id = f'session-{request.session}'
    return place(daemons, request, own_id=own_id).versions['m']


def by_timed_id(plan, daemons, request, held):
    """Place by a UUID of version 7, which contains the start."""
    milliseconds = int(plan.begins[request.session] * 1000)
    number = milliseconds << 80 | 7 << 76 | 2 << 62 | request.session
    own_id = str(uuid.UUID(int=number))
    return place(daemons, request, own_id=own_id).versions['m']


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Sessions that moved, and requests on the new version."""

    sessions_moved: int
    requests_on_new: int
    requests: int


def run(plan, method):
    """Return the :class:`Figures` of one method to keep sessions."""
    daemons = Daemons(plan)
    held = {}
    versions = {}
    moved = set()
    on_new = 0
    for request in plan.requests:
        version = method(plan, daemons, request, held)
        if versions.setdefault(request.session, version) != version:
            moved.add(request.session)
        versions[request.session] = version
        on_new += version == '2'
    return Figures(len(moved), on_new, len(plan.requests))


def main():
    """Read the arguments and print one line for each method."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    plan = make_plan(parser.parse_args().seed)
    for method in (by_hash, by_token, by_own_id, by_timed_id):
        print(f'{method.__name__}: {run(plan, method)}')


if __name__ == '__main__':
    main()
