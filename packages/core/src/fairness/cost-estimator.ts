/**
 * Estimates the slot time of a request from its hints and from the history of its account and service. The estimate comes from
 * the most specific history with samples: (account, service, hint class), (service, hint class), service, else a default.
 */
import { evictLeastRecentlyUsed, markRecentlyUsed } from '../collections/index.js';

/** Properties of a request that are known before it runs. */
export interface CostHints {
  account: string;
  service: string;
  /** Number of prompt tokens, if the caller or the router counted them. */
  promptTokens?: number;
  /** Maximum number of output tokens requested by the caller. */
  maxTokens?: number;
  /** Size of the request body in bytes. */
  bodyBytes?: number;
}

export interface CostEstimatorOptions {
  /** Estimate for requests without any history, in milliseconds of slot time. @default 1000 */
  defaultMs?: number;
  /** Maximum number of histories; the least recently used is evicted first. @default 120000 */
  maxHistories?: number;
  /** Weight of a new sample in a history's exponentially weighted mean. @default 0.2 */
  sampleWeight?: number;
}

interface CostHistory {
  meanMs: number;
}

/** Histories of observed slot times, at most `maxHistories`. */
export interface CostEstimator {
  options: Required<CostEstimatorOptions>;
  /** Histories by key, least recently used first. */
  histories: Map<string, CostHistory>;
}

const DEFAULT_ESTIMATE_MS = 1000;
const DEFAULT_MAX_HISTORIES = 120_000;
const DEFAULT_SAMPLE_WEIGHT = 0.2;
const MIN_ESTIMATE_MS = 1;

/** Creates an estimator without any history. */
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

/** Classifies a hint by powers of four, so that a few classes cover its range; `-` if the hint is missing. */
function sizeClass(value: number | undefined): string {
  if (value === undefined) return '-';
  return String(Math.floor(Math.log2(Math.max(1, value)) / 2));
}

function hintClass({ promptTokens, maxTokens, bodyBytes }: CostHints): string {
  const size = promptTokens === undefined ? `b${sizeClass(bodyBytes)}` : sizeClass(promptTokens);
  return `${size}.${sizeClass(maxTokens)}`;
}

/** Returns the history keys of a request, most specific first. */
function historyKeys(hints: CostHints): string[] {
  const { account, service } = hints;
  const hint = hintClass(hints);
  return [
    JSON.stringify([account, service, hint]),
    JSON.stringify([service, hint]),
    JSON.stringify([service]),
  ];
}

/** Returns the expected slot time of a request in milliseconds, at least 1. */
export function estimateCostMs(estimator: CostEstimator, hints: CostHints): number {
  const { histories, options } = estimator;
  const key = historyKeys(hints).find((candidate) => histories.has(candidate));
  const history = key === undefined ? undefined : histories.get(key);
  if (key === undefined || history === undefined) return options.defaultMs;
  markRecentlyUsed(histories, key, history);
  return Math.max(MIN_ESTIMATE_MS, Math.round(history.meanMs));
}

function updateHistory(estimator: CostEstimator, key: string, slotMs: number): void {
  const { histories, options } = estimator;
  const history = histories.get(key) ?? { meanMs: slotMs };
  history.meanMs += (slotMs - history.meanMs) * options.sampleWeight;
  markRecentlyUsed(histories, key, history);
}

/** Records the slot time of a completed request in milliseconds. Cancelled and failed requests must not be recorded. */
export function observeCost(estimator: CostEstimator, hints: CostHints, slotMs: number): void {
  if (!(slotMs >= 0)) return;
  historyKeys(hints)
    .reverse()
    .forEach((key) => updateHistory(estimator, key, slotMs));
  evictLeastRecentlyUsed(estimator.histories, estimator.options.maxHistories);
}
