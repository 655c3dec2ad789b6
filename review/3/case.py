"""The operator takes the keys of the only tenant away, with the tenant."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent.parent))

from review.standins import clients  # noqa: E402
from review.standins import deployment as deployments  # noqa: E402

HOST = 'spares.example'
KEYS = ('first-key', 'second-key')
NEVER_HELD_KEY = 'key-that-no-tenant-held'
REVOKE_SECONDS = 5.0
# Between the two versions that take keys away.
GAP_SECONDS = 1.5
# Beyond the bound, so that clocks and scheduling excuse nothing.
AFTER_SECONDS = REVOKE_SECONDS + 1.0
DEADLINE_MS = 4000
ZONES = ('lima-a', 'lima-b', 'lima-c')


def configuration(version, tenants):
    """Return a configuration with the given tenants."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'spare-reserve',
                'host': HOST,
                'pathPrefix': '/reserve/',
                'kind': 'non_idempotent',
                'service': 'spares-ledger',
                'timeoutMs': 2000,
                'goalMs': 400,
                'maxAttempts': 1,
                'priority': 2,
            }
        ],
        'services': [{'name': 'spares-ledger'}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants,
    }


async def case(deployment, trouble):
    """Return whether a request with a revoked or unknown key ran."""
    tenants = [{'name': 'tenant-1', 'apiKeys': list(KEYS)}]
    await deployment.start_store(configuration(7, tenants))
    for number, zone in enumerate(ZONES):
        await deployment.start_runner(f'i-{number}', 'spares-ledger', zone)
    addresses = [
        await deployment.start_router(f'front-{zone}-1', zone)
        for zone in ZONES
    ]

    async def send(address, key):
        return await clients.send(
            deployment,
            address,
            'POST',
            '/reserve/item',
            host=HOST,
            key=key,
            deadline_ms=DEADLINE_MS,
            body=b'one burner',
        )

    before = [await send(each, key) for each in addresses for key in KEYS]
    if any(attempt.status != 200 for attempt in before):
        raise deployments.CannotRun('requests fail before the change')
    if trouble:
        one_key = [{'name': 'tenant-1', 'apiKeys': [KEYS[1]]}]
        for version, left in ((8, one_key), (9, [])):
            await asyncio.sleep(GAP_SECONDS)
            changed = configuration(version, left)
            await deployment.store.put('config', 'main', changed)
            deployment.note(f'acknowledged version {version}: {left}')
    await asyncio.sleep(AFTER_SECONDS)
    after = [
        (await send(each, key), key)
        for each in addresses
        for key in (*KEYS, NEVER_HELD_KEY)
    ]
    await asyncio.sleep(0.5)
    deployment.note_runs()
    ran = {run['id'] for run in deployment.runs()}
    held = () if trouble else KEYS
    without_key = [attempt for attempt, key in after if key not in held]
    wrong = [attempt for attempt in without_key if attempt.id in ran]
    deployment.note(
        f'{len(without_key)} requests later than revokeMs without a key, '
        f'{len(wrong)} of them ran'
    )
    return bool(wrong)


if __name__ == '__main__':
    deployments.run_case(FOLDER / 'record.txt', case)
