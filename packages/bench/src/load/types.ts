/** Types of offered load: calls, schedules and what generates them. */

/** Kinds of calls that the users make. */
export const CallKind = {
  ChatStream: 'chat-stream',
  ChatWhole: 'chat-whole',
  Lookup: 'lookup',
  Record: 'record',
} as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** One call, without the ids of the request that carries it. */
export interface Call {
  kind: CallKind;
  service: string;
  /** Characters of the prompt, or of a record's text. */
  promptChars: number;
  /** Tokens that a chat asks for; 0 for plain services. */
  answerTokens: number;
}

/** Sizes of a call: lognormal around a median, cut at bounds. */
export interface SizeDistribution {
  median: number;
  /** Standard deviation of the logarithm; 0 gives the median always. */
  sigma: number;
  max: number;
}

/** A kind of call in an account's mix. */
export interface CallTemplate {
  kind: CallKind;
  service: string;
  /** Part of the account's calls, in relation to the other templates. */
  weight: number;
  promptChars: SizeDistribution;
  answerTokens: SizeDistribution;
}

/** A span of the run in which an account sends at another rate. */
export interface RatePhase {
  /** Start and end as parts of the run, 0 to 1. */
  from: number;
  to: number;
  factor: number;
}

/** Load of one client account. */
export interface AccountLoad {
  account: string;
  /** Requests per second of the open loop, outside phases. */
  ratePerSecond: number;
  phases: RatePhase[];
  mix: CallTemplate[];
  /** Probability that a record carries an `Idempotency-Key`. @default 0 */
  keyedFraction?: number;
  /** Probability that a keyed record is sent again through another router. @default 0 */
  repeatFraction?: number;
  /** Longest time after which a repeat is sent, in milliseconds. @default 500 */
  maxRepeatDelayMs?: number;
}

/** One request of a schedule. */
export interface ScheduledRequest {
  /** Unique to this HTTP request. */
  id: string;
  /** Common to the repeats of one request. */
  logicalId: string;
  /** Time from the start of the run, in milliseconds. */
  atMs: number;
  account: string;
  /** Position of the request's router in the account's own order of routers, 0 to below 1. */
  routerPosition: number;
  call: Call;
  idempotencyKey?: string;
}

/** All that a schedule is generated from. */
export interface ScheduleOptions {
  seed: number;
  seconds: number;
  loads: readonly AccountLoad[];
}
