/** Types of the generated load: calls, schedules and their parameters. */

/** Kinds of calls that callers make. */
export const CallKind = {
  ChatStream: 'chat-stream',
  ChatWhole: 'chat-whole',
  Lookup: 'lookup',
  Record: 'record',
} as const;
export type CallKind = (typeof CallKind)[keyof typeof CallKind];

/** Parameters of one call, without the IDs of its request. */
export interface Call {
  kind: CallKind;
  service: string;
  /** Length of the prompt or of the record's text, in characters. */
  promptChars: number;
  /** Requested number of answer tokens of a chat; 0 for plain services. */
  answerTokens: number;
}

/** Lognormal distribution of sizes, clamped to 1 and `max`. */
export interface SizeDistribution {
  median: number;
  /** Standard deviation of the logarithm; 0 always gives the median. */
  sigma: number;
  max: number;
}

/** A kind of call in an account's mix. */
export interface CallTemplate {
  kind: CallKind;
  service: string;
  /** Weight of this template relative to the others in the mix. */
  weight: number;
  promptChars: SizeDistribution;
  answerTokens: SizeDistribution;
}

/** Phase of a run in which an account's request rate is multiplied by a factor. */
export interface RatePhase {
  /** Start of the phase as a fraction of the run, 0 to 1, inclusive. */
  from: number;
  /** End of the phase as a fraction of the run, 0 to 1, exclusive. */
  to: number;
  factor: number;
}

/** Load generated for one client account. */
export interface AccountLoad {
  account: string;
  /** Request rate outside all phases, in requests per second. */
  ratePerSecond: number;
  phases: RatePhase[];
  mix: CallTemplate[];
  /** Probability that a record carries an `Idempotency-Key`. @default 0 */
  keyedFraction?: number;
  /** Probability that a record with a key is repeated through another router. @default 0 */
  repeatFraction?: number;
  /** Maximum delay between a request and its repeat, in milliseconds. @default 500 */
  maxRepeatDelayMs?: number;
}

/** One request of a schedule. */
export interface ScheduledRequest {
  /** ID of this HTTP request; unique. */
  id: string;
  /** ID shared by a request and its repeats. */
  logicalId: string;
  /** Scheduled send time from the start of the run, in milliseconds. */
  atMs: number;
  account: string;
  /** Position of the router in the account's order of routers, 0 to below 1. */
  routerPosition: number;
  call: Call;
  idempotencyKey?: string;
}

/** Parameters of a schedule. */
export interface ScheduleOptions {
  seed: number;
  /** Length of the run, in seconds. */
  seconds: number;
  loads: readonly AccountLoad[];
}
