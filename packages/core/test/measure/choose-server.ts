/**
 * Measures the processor time that the direct router's reducer takes to place one request, for several sizes of a service. Each
 * request is sent, begins and ends. Prints one JSON line per size.
 * Run: node --import tsx packages/core/test/measure/choose-server.ts
 */
import { AttemptOutcome, createDirectState, directReducer } from '../../src/direct/index.js';
import type { DirectEvent, DirectState } from '../../src/direct/index.js';
import { createHasher } from '../../src/hash/index.js';
import { sampleConfig, sampleEntry, sampleRoute } from '../direct/sample.js';

const SIZES = [10, 55, 300, 1000, 6400];
const ZONES = 20;
const REGIONS = 5;
const ACCOUNTS = 400;
const PROMPTS = 50;
const WARM_UP_REQUESTS = 1500;
const MEASURED_REQUESTS = 2000;
const REQUEST_PERIOD_MS = 2;
const NS_PER_US = 1000;

type Untimed<T> = T extends DirectEvent ? Omit<T, 'nowMs'> : never;

const hasher = await createHasher();

function createState(): DirectState {
  const zones = Array.from({ length: ZONES }, (_none, zone) => zone);
  return createDirectState({
    instance: 'r1',
    router: 'r1/1',
    hasher,
    zone: 'z1',
    regionByZone: new Map(zones.map((zone) => [`z${zone}`, `r${zone % REGIONS}`])),
    followsEvacuations: false,
    registry: { outageThresholdMs: 3000, renewalGraceMs: 2200 },
    retryBudget: { ratio: 0.2, burst: 50, windowMs: 10_000 },
    store: { writesPerSecond: 400, readsPerSecond: 2000 },
    shareWindowMs: 4000,
  });
}

function measure(size: number): number {
  const state = createState();
  const route = sampleRoute();
  let nowMs = 1000;
  const dispatch = (event: Untimed<DirectEvent>) =>
    directReducer(state, { ...event, nowMs }).effects;

  function runRequest(index: number): void {
    const attributes = {
      route,
      service: 'engines',
      account: `account-${index % ACCOUNTS}`,
      accountRegions: [],
      expiresAtMs: nowMs + route.timeoutMs,
      promptParts: [
        { id: `shared-${index % PROMPTS}`, tokens: 4000 },
        { id: `own-${index}`, tokens: 1000 },
      ],
      fingerprint: `q${index}`,
      streamId: undefined,
      resumeAfter: undefined,
      promptTokens: 5000,
      maxOutputTokens: 100,
    };
    const draw = Math.random();
    dispatch({ kind: 'request', request: `q${index}`, attributes, draw }).forEach((effect) => {
      if (effect.kind !== 'send') return;
      const { attempt } = effect;
      dispatch({ kind: 'attempt-begun', attempt });
      const outcome = AttemptOutcome.Complete;
      dispatch({ kind: 'attempt-ended', attempt, outcome, detail: '' });
    });
    nowMs += REQUEST_PERIOD_MS;
  }

  const entries = Array.from({ length: size }, (_none, index) =>
    sampleEntry(`e${index}`, { zone: `z${index % ZONES}` }),
  );
  const engineTokensPerSecond = size * 40_000;
  dispatch({ kind: 'configured', config: { ...sampleConfig(1, [route]), engineTokensPerSecond } });
  dispatch({ kind: 'servers-listed', entries });
  for (let index = 0; index < WARM_UP_REQUESTS; index += 1) runRequest(index);
  const startedAt = process.hrtime.bigint();
  for (let index = 0; index < MEASURED_REQUESTS; index += 1) runRequest(WARM_UP_REQUESTS + index);
  return Number(process.hrtime.bigint() - startedAt) / NS_PER_US / MEASURED_REQUESTS;
}

SIZES.forEach((servers) => {
  const usPerRequest = Math.round(measure(servers));
  process.stdout.write(`${JSON.stringify({ servers, usPerRequest })}\n`);
});
