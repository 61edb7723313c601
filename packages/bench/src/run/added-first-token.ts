/** Measures the first-token latency that routers and sidecars add in an idle fleet. */
import type { Fleet, FleetProcess } from '../fleet/index.js';
import { CallKind } from '../load/index.js';
import type { Balancer, LoadClient, ScheduledRequest } from '../load/index.js';
import { measurePercentiles } from '../measure/index.js';
import type { RequestRecord } from '../measure/index.js';
import type { RunSummary } from './types.js';

const WARM_UP_PAIRS = 20;
const MEASURED_PAIRS = 200;
const PROMPT_CHARS = 120;
const PROBE_ID_PREFIX = 'probe';

function createProbeRequest(fleet: Fleet, i: number, target: string): ScheduledRequest {
  const [account] = fleet.topology.accounts;
  const service = Object.entries(fleet.topology.services).find(([, { kind }]) => kind === 'model');
  const id = `${PROBE_ID_PREFIX}-${target}-${i}`;
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

function firstTokenTimes({ sentMs, firstTokenMs }: RequestRecord): number[] {
  return firstTokenMs === undefined ? [] : [firstTokenMs - sentMs];
}

/**
 * Alternates single requests sent directly to one engine and through the fleet; returns the differences of the
 * first-token percentiles in milliseconds, or null if either side received no first token.
 */
export async function measureAddedFirstToken(
  fleet: Fleet,
  client: LoadClient,
  balancer: Balancer,
): Promise<RunSummary['addedFirstTokenMs']> {
  const engine = fleet.backends.find(
    (_, i) => fleet.topology.backends[i]?.kind === 'engine',
  ) as FleetProcess;
  const directMs: number[] = [];
  const routedMs: number[] = [];
  for (let i = 0; i < WARM_UP_PAIRS + MEASURED_PAIRS; i++) {
    const directRecord = await client.send(createProbeRequest(fleet, i, 'direct'), {
      router: engine.name,
      url: engine.url,
      apiKey: '',
      pool: '',
    });
    const routedRecord = await balancer.send(client, createProbeRequest(fleet, i, 'routed'));
    if (i < WARM_UP_PAIRS) continue;
    directMs.push(...firstTokenTimes(directRecord));
    routedMs.push(...firstTokenTimes(routedRecord));
  }
  const directPercentiles = measurePercentiles(directMs);
  const routedPercentiles = measurePercentiles(routedMs);
  if (directPercentiles === null || routedPercentiles === null) return { p50: null, p99: null };
  return {
    p50: routedPercentiles.p50 - directPercentiles.p50,
    p99: routedPercentiles.p99 - directPercentiles.p99,
  };
}
