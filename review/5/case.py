"""Many routers are killed at the same moment, among them all that read the store. A key is then
taken away. The routers that were not killed must refuse it within config_apply_ms."""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standins-2'))
from rig import *

CONFIG_APPLY_S = 2.0
DOWN_S = 5.0
KILLED = {'edge-a-1', 'edge-a-2', 'edge-b-1', 'edge-b-2', 'edge-c-1', 'edge-c-2'}
TROUBLE = os.environ.get('TROUBLE') != '0'


async def run(request):
    await asyncio.sleep(0.02)
    request.answer(200, b'r' * 800)


def config(keys_of_second):
    return {'routes': [route('/lookup/', 'app', 'idempotent', 2, timeout_ms=1500)],
            'services': [service('app', max_conns=110)], 'limits': LIMITS,
            'tenants': [{'name': 'first', 'api_keys': ['key-first'], 'priority': 1},
                        {'name': 'second', 'api_keys': keys_of_second, 'priority': 1}]}


async def requester(rig, router, end):
    channel = Channel(rig, router)
    while time.monotonic() < end:
        await channel.call('GET', '/lookup/1', 'key-second', deadline=3000)
        await asyncio.sleep(0.05)
    channel.close()


async def main(record):
    rig = Rig(record, zones=(('a', 5), ('b', 4), ('c', 3)), retry_slack=58)
    for zone in 'abc':
        rig.add_replica('app', zone, 6, run)
    await rig.start(config(['key-second']))
    try:
        calm = [router for router in rig.routers if router.name not in KILLED]
        await asyncio.sleep(4)          # Longer than contact_ms: all routers are in touch.
        tasks = [asyncio.ensure_future(requester(rig, router, time.monotonic() + 9)) for router in calm]
        await asyncio.sleep(1)
        killed = [router for router in rig.routers if router.name in KILLED]
        if TROUBLE:
            for router in killed:
                router.signal(signal.SIGKILL)
        await rig.publish(config([]))
        confirmed = record.now()

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
    late = [(row, sent[row['id']]) for row in record.of('run')
            if sent[row['id']]['t'] > confirmed + CONFIG_APPLY_S]
    refused = [row['t'] - confirmed for row in record.of('answer') if row['status'] == 401]
    latest = max((request['t'] - confirmed for _, request in late), default=0)
    text = ('%d requests that were sent over %.1f s after the confirmation ran with the key that was taken away, '
            'at %d calm routers; the last one was sent %.2f s after it; first 401 %.2f s after it' %
            (len(late), CONFIG_APPLY_S, len({request['router'] for _, request in late}), latest, min(refused, default=-1)))
    record.add('result', text=text)
    print(text)
    if not refused and not late:
        return 2
    return 1 if late else 0


run_case(main, os.path.dirname(os.path.abspath(__file__)))
