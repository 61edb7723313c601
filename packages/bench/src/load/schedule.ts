/** Generates the requests of a run before it starts, so that each policy is offered the same. */
import { createRandom, drawExponential, drawNormal } from './random.js';
import type { Random } from './random.js';
import { CallKind } from './types.js';
import type {
  AccountLoad,
  Call,
  CallTemplate,
  RatePhase,
  ScheduledRequest,
  ScheduleOptions,
  SizeDistribution,
} from './types.js';

const MS_PER_SECOND = 1000;
const REPEAT_WITHIN_MS = 500;

/** Skews the routers of an account towards the first in its order. */
const ROUTER_SKEW = 2;

function drawSize(random: Random, { median, sigma, max }: SizeDistribution): number {
  const size = Math.round(median * Math.exp(sigma * drawNormal(random)));
  return Math.min(max, Math.max(1, size));
}

function drawTemplate(random: Random, mix: readonly CallTemplate[]): CallTemplate {
  const total = mix.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  const chosen = mix.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return chosen ?? (mix.at(-1) as CallTemplate);
}

function drawCall(random: Random, mix: readonly CallTemplate[]): Call {
  const { kind, service, promptChars, answerTokens } = drawTemplate(random, mix);
  return {
    kind,
    service,
    promptChars: drawSize(random, promptChars),
    answerTokens: answerTokens.max === 0 ? 0 : drawSize(random, answerTokens),
  };
}

function rateFactor(phases: readonly RatePhase[], part: number): number {
  return phases.find(({ from, to }) => from <= part && part < to)?.factor ?? 1;
}

/** Arrival times of a Poisson process whose rate changes with the phases, by thinning. */
function drawArrivals(random: Random, load: AccountLoad, durationMs: number): number[] {
  const highest = Math.max(1, ...load.phases.map(({ factor }) => factor));
  const meanGapMs = MS_PER_SECOND / (load.ratePerSecond * highest);
  const arrivals: number[] = [];
  let atMs = drawExponential(random, meanGapMs);
  while (atMs < durationMs) {
    if (random() * highest < rateFactor(load.phases, atMs / durationMs)) arrivals.push(atMs);
    atMs += drawExponential(random, meanGapMs);
  }
  return arrivals;
}

/** The request once more, through another router and a little later. */
function drawRepeat(
  random: Random,
  load: AccountLoad,
  first: ScheduledRequest,
): ScheduledRequest[] {
  if (random() >= (load.repeatFraction ?? 0)) return [];
  const delayMs = random() * (load.maxRepeatDelayMs ?? REPEAT_WITHIN_MS);
  return [
    {
      ...first,
      id: `${first.logicalId}~1`,
      atMs: first.atMs + delayMs,
      routerPosition: (first.routerPosition + 0.5) % 1,
    },
  ];
}

function scheduleAccount(load: AccountLoad, { seed, seconds }: ScheduleOptions) {
  const random = createRandom(seed, load.account);
  const arrivals = drawArrivals(random, load, seconds * MS_PER_SECOND);
  return arrivals.flatMap((atMs, i): ScheduledRequest[] => {
    const logicalId = `${load.account}-${i}`;
    const first: ScheduledRequest = {
      id: logicalId,
      logicalId,
      atMs,
      account: load.account,
      routerPosition: random() ** ROUTER_SKEW,
      call: drawCall(random, load.mix),
    };
    const isKeyed = first.call.kind === CallKind.Record && random() < (load.keyedFraction ?? 0);
    if (!isKeyed) return [first];
    const keyed = { ...first, idempotencyKey: logicalId };
    return [keyed, ...drawRepeat(random, load, keyed)];
  });
}

/** The requests of all accounts in order of time. The same options give the same schedule. */
export function createSchedule(options: ScheduleOptions): ScheduledRequest[] {
  return options.loads
    .flatMap((load) => scheduleAccount(load, options))
    .sort((a, b) => a.atMs - b.atMs);
}
