"""Complete daemons that are peers of each other."""

import time

import curio
import result

from celeryward import daemon
from celeryward.daemons import client
from celeryward.operators import admin
from celeryward.operators import demo
from celeryward import settings


async def start_second(cluster):
    """Start a second daemon, whose seed is the daemon of the cluster."""
    first = cluster.daemon
    second = daemon.Daemon(
        settings.Settings(
            name='second',
            failure_domain='domain-2',
            platform=settings.Address(port=cluster.platform.port),
            raters=settings.Address(port=cluster.rater.port),
            seeds=[settings.Address(port=first.control.bridge.port)],
        )
    )
    await second.start()
    return second


class TestIdlePeer:
    """Guards against a call that is queued as the task of its peer ends."""

    def test_call_that_is_due_in_a_pause_is_made(self, run, monkeypatch):
        monkeypatch.setattr(client, 'IDLE_TIMEOUT_SECONDS', 0.2)

        async def test():
            peer = client.Peer(None, None, None)
            done = curio.Result()

            async def work():
                return result.Ok('made')

            async def put_later():
                await curio.sleep(0.1)
                await peer.jobs.put(client.Job(work, done))

            running = await curio.spawn(peer.run)
            putting = await curio.spawn(put_later)
            await curio.sleep(0.0)
            time.sleep(0.4)
            async with curio.timeout_after(2.0):
                assert (await done.unwrap()).unwrap() == 'made'
            await putting.join()
            await running.join()

        run(test)


class TestSecondDaemon:
    """Guards against a daemon that needs the platform to start or serve."""

    def test_second_daemon_starts_and_serves_without_the_platform(self, run):
        async def test():
            cluster = demo.Cluster()
            await cluster.start()
            await cluster.platform.set_unavailable(True)
            second = await start_second(cluster)
            example = demo.chat_example('', 'small', 'x')
            head, _ = await demo.send_example(second.listener.port, example)
            await cluster.platform.set_unavailable(False)
            await second.stop()
            await cluster.stop()
            assert head.status == 200

        run(test)

    def test_status_shows_peers_and_holders(self, run):
        async def test():
            cluster = demo.Cluster()
            await cluster.start()
            second = await start_second(cluster)
            members = cluster.daemon.control.members
            while not members.live():
                await curio.sleep(0.02)
            status = admin.AdminHandler(cluster.daemon).status()
            await second.stop()
            await cluster.stop()
            assert status.holds_watch
            assert status.confirmed_at > 0.0
            (peer,) = status.peers
            assert (peer.name, peer.failure_domain) == ('second', 'domain-2')
            assert peer.live and peer.holder

        run(test)
