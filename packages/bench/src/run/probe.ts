/** Measures what routers and sidecars add to the first-token time of an idle fleet. */
import type { Fleet, FleetProcess } from '../fleet/index.js';
import { CallKind } from '../load/index.js';
import type { Balancer, LoadClient, ScheduledRequest } from '../load/index.js';
import { measurePercentiles } from '../measure/index.js';
import type { RequestRecord } from '../measure/index.js';
import type { RunSummary } from './types.js';

const WARM_UP_PAIRS = 20;
const PAIRS = 200;
const PROMPT_CHARS = 120;
const PROBE_ID = 'probe';

function probeRequest(fleet: Fleet, i: number, name: string): ScheduledRequest {
  const [account] = fleet.topology.accounts;
  const service = Object.entries(fleet.topology.services).find(([, { kind }]) => kind === 'model');
  const id = `${PROBE_ID}-${name}-${i}`;
  return {
    id,
    logicalId: id,
    atMs: 0,
    account: account?.id ?? '',
    routerPosition: 0,
    call: {
      kind: CallKind.ChatStream,
      service: service?.[0] ?? '',
      promptChars: PROMPT_CHARS,
      answerTokens: 1,
    },
  };
}

function firstTokenTime({ sentMs, firstTokenMs }: RequestRecord): number[] {
  return firstTokenMs === undefined ? [] : [firstTokenMs - sentMs];
}

/** Asks one engine directly and the fleet in turn, one request at a time. */
export async function probeAddedFirstToken(
  fleet: Fleet,
  client: LoadClient,
  balancer: Balancer,
): Promise<RunSummary['addedFirstTokenMs']> {
  const engine = fleet.backends.find(
    (_, i) => fleet.topology.backends[i]?.kind === 'engine',
  ) as FleetProcess;
  const direct: number[] = [];
  const routed: number[] = [];
  for (let i = 0; i < WARM_UP_PAIRS + PAIRS; i++) {
    const asked = await client.send(probeRequest(fleet, i, 'direct'), {
      router: engine.name,
      url: engine.url,
      apiKey: '',
      pool: '',
    });
    const answered = await balancer.send(client, probeRequest(fleet, i, 'routed'));
    if (i < WARM_UP_PAIRS) continue;
    direct.push(...firstTokenTime(asked));
    routed.push(...firstTokenTime(answered));
  }
  const without = measurePercentiles(direct);
  const through = measurePercentiles(routed);
  if (without === null || through === null) return { p50: null, p99: null };
  return { p50: through.p50 - without.p50, p99: through.p99 - without.p99 };
}
