/** Generates all requests of a run in advance, so that every policy receives the same load. */
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
const DEFAULT_MAX_REPEAT_DELAY_MS = 500;

/** Exponent that skews router positions towards the first router of an account; 1 is uniform. */
const ROUTER_SKEW = 2;

function drawSize(random: Random, { median, sigma, max }: SizeDistribution): number {
  const size = Math.round(median * Math.exp(sigma * drawNormal(random)));
  return Math.min(max, Math.max(1, size));
}

/** Draws a template with a probability proportional to its weight. */
function drawTemplate(random: Random, mix: readonly CallTemplate[]): CallTemplate {
  const total = mix.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  const chosen = mix.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
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

/** Returns the rate factor at a fraction of the run; 1 outside all phases. */
function rateFactor(phases: readonly RatePhase[], fraction: number): number {
  return phases.find(({ from, to }) => from <= fraction && fraction < to)?.factor ?? 1;
}

/** Draws the arrival times of a Poisson process with a rate per phase, by thinning; milliseconds. */
function drawArrivals(random: Random, load: AccountLoad, durationMs: number): number[] {
  const maxFactor = Math.max(1, ...load.phases.map(({ factor }) => factor));
  const meanGapMs = MS_PER_SECOND / (load.ratePerSecond * maxFactor);
  const arrivals: number[] = [];
  let atMs = drawExponential(random, meanGapMs);
  while (atMs < durationMs) {
    if (random() * maxFactor < rateFactor(load.phases, atMs / durationMs)) arrivals.push(atMs);
    atMs += drawExponential(random, meanGapMs);
  }
  return arrivals;
}

/** Draws at most one repeat of a request, sent later through another router. */
function drawRepeat(
  random: Random,
  load: AccountLoad,
  first: ScheduledRequest,
): ScheduledRequest[] {
  if (random() >= (load.repeatFraction ?? 0)) return [];
  const delayMs = random() * (load.maxRepeatDelayMs ?? DEFAULT_MAX_REPEAT_DELAY_MS);
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

/** Creates the requests of all accounts, sorted by time. Equal options give equal schedules. */
export function createSchedule(options: ScheduleOptions): ScheduledRequest[] {
  return options.loads
    .flatMap((load) => scheduleAccount(load, options))
    .sort((a, b) => a.atMs - b.atMs);
}
