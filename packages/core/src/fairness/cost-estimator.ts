/**
 * Estimates the slot time of a request from its hints and from the history of its account and service. The most specific
 * history that has samples is used: (account, service, hint class), then (service, hint class), then service, then a default.
 */

/** What is known of a request before it runs. */
export interface CostHints {
  account: string;
  service: string;
  /** Tokens of the prompt, if the caller or the router counted them. */
  promptTokens?: number;
  /** Largest number of tokens that the caller asks for. */
  maxTokens?: number;
  /** Size of the request's body in bytes. */
  bodyBytes?: number;
}

export interface CostEstimatorOptions {
  /** Estimate without any history, in milliseconds of slot time. @default 1000 */
  defaultMs?: number;
  /** Histories kept; the one longest unused is dropped first. @default 120000 */
  maxHistories?: number;
  /** Weight of a new sample in a history's mean. @default 0.2 */
  sampleWeight?: number;
}

interface History {
  meanMs: number;
}

/** Histories of slot time, at most `maxHistories` of them. */
export interface CostEstimator {
  options: Required<CostEstimatorOptions>;
  /** By history key, least recently used first. */
  histories: Map<string, History>;
}

const DEFAULT_ESTIMATE_MS = 1000;
const DEFAULT_MAX_HISTORIES = 120_000;
const DEFAULT_SAMPLE_WEIGHT = 0.2;
const MIN_ESTIMATE_MS = 1;

/** Creates an estimator without history. */
export function createCostEstimator(options: CostEstimatorOptions = {}): CostEstimator {
  return {
    options: {
      defaultMs: options.defaultMs ?? DEFAULT_ESTIMATE_MS,
      maxHistories: options.maxHistories ?? DEFAULT_MAX_HISTORIES,
      sampleWeight: options.sampleWeight ?? DEFAULT_SAMPLE_WEIGHT,
    },
    histories: new Map(),
  };
}

/** Power-of-four class of a hint, so that a few classes cover its whole range; `-` when the hint is missing. */
function sizeClass(value: number | undefined): string {
  if (value === undefined) return '-';
  return String(Math.floor(Math.log2(Math.max(1, value)) / 2));
}

function hintClass({ promptTokens, maxTokens, bodyBytes }: CostHints): string {
  const size = promptTokens === undefined ? `b${sizeClass(bodyBytes)}` : sizeClass(promptTokens);
  return `${size}.${sizeClass(maxTokens)}`;
}

/** History keys of a request, most specific first. */
function historyKeys(hints: CostHints): string[] {
  const { account, service } = hints;
  const hint = hintClass(hints);
  return [
    JSON.stringify([account, service, hint]),
    JSON.stringify([service, hint]),
    JSON.stringify([service]),
  ];
}

function touch(histories: Map<string, History>, key: string, history: History): void {
  histories.delete(key);
  histories.set(key, history);
}

/** Expected slot time of the request in milliseconds, at least 1. */
export function estimateCostMs(estimator: CostEstimator, hints: CostHints): number {
  const { histories, options } = estimator;
  const key = historyKeys(hints).find((candidate) => histories.has(candidate));
  const history = key === undefined ? undefined : histories.get(key);
  if (key === undefined || history === undefined) return options.defaultMs;
  touch(histories, key, history);
  return Math.max(MIN_ESTIMATE_MS, Math.round(history.meanMs));
}

function observe(estimator: CostEstimator, key: string, slotMs: number): void {
  const { histories, options } = estimator;
  const history = histories.get(key) ?? { meanMs: slotMs };
  history.meanMs += (slotMs - history.meanMs) * options.sampleWeight;
  touch(histories, key, history);
}

function evict({ histories, options }: CostEstimator): void {
  const keys = histories.keys();
  while (histories.size > options.maxHistories) histories.delete(keys.next().value as string);
}

/** Learns the slot time of a request that ended by itself; leave out cancelled and failed ones. */
export function observeCost(estimator: CostEstimator, hints: CostHints, slotMs: number): void {
  if (!(slotMs >= 0)) return;
  historyKeys(hints)
    .reverse()
    .forEach((key) => observe(estimator, key, slotMs));
  evict(estimator);
}
