"""Many routers are killed at the same moment, among them all that read the store, and a replica leaves. The
routers that were not killed must send nothing to it later than drain_ms after its entry was removed."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standins-2'))
from rig import *

DRAIN_S, DOWN_S, SERVES_ON_S = 2.0, 2.0, 8.0
KILLED = {'edge-a-1', 'edge-a-2', 'edge-b-1', 'edge-b-2', 'edge-c-1', 'edge-c-2'}
TROUBLE = os.environ.get('TROUBLE') != '0'


async def run(request):
    await asyncio.sleep(0.02)
    request.answer(200, b'r' * 800)


async def main(record):
    rig = Rig(record, zones=(('a', 5), ('b', 4), ('c', 3)), retry_slack=58)
    for zone in 'abc':
        rig.add_replica('app', zone, 6, run)
        rig.add_replica('app', zone, 6, run)
    await rig.start({'routes': [route('/lookup/', 'app', 'idempotent', 2, timeout_ms=1500)],
                     'services': [service('app', max_conns=110)], 'limits': LIMITS,
                     'tenants': [{'name': 'first', 'api_keys': ['key-first'], 'priority': 1}]})
    try:
        calm = [router for router in rig.routers if router.name not in KILLED]
        await asyncio.sleep(4)          # Longer than contact_ms: all routers are in touch.
        end = time.monotonic() + 1 + SERVES_ON_S

        async def requester(router):
            channel = Channel(rig, router)
            while time.monotonic() < end:
                await channel.call('GET', '/lookup/%d' % random.randrange(100), 'key-first', deadline=3000)
                await asyncio.sleep(0.03)
            channel.close()
        tasks = [asyncio.ensure_future(requester(router)) for router in calm]
        await asyncio.sleep(1)
        killed = [router for router in rig.routers if router.name in KILLED]
        if TROUBLE:
            for router in killed:
                router.signal(signal.SIGKILL)
        # Like some replicas, it never reports `draining`: its entry is removed, and it serves on.
        leaving = rig.replicas[0]
        rig.replicas.remove(leaving)
        await rig.store.remove('servers/' + leaving.id)
        removed = record.now()
        record.add('leaves', replica=leaving.id)

        async def restart(router):
            await router.process.wait()
            await asyncio.sleep(DOWN_S)
            record.add('start', router=router.name)
            await router.start()
        if TROUBLE:
            tasks += [asyncio.ensure_future(restart(router)) for router in killed]
        await asyncio.gather(*tasks)
    finally:
        await rig.stop()
    sent = {row['id']: row for row in record.of('sent')}
    arrivals = [row for row in record.of('run') if row['replica'] == leaving.id]
    late = [row for row in arrivals if row['t'] > removed + DRAIN_S]
    text = ('%d requests reached the replica over %.1f s after its entry was removed, from %d calm routers; the last '
            'one %.2f s after it' % (len(late), DRAIN_S, len({sent[row['id']]['router'] for row in late}),
                                     max((row['t'] for row in arrivals), default=0) - removed))
    record.add('result', text=text)
    print(text)
    if not arrivals:
        return 2
    return 1 if late else 0


run_case(main, os.path.dirname(os.path.abspath(__file__)))
