/** Size of a request in tokens. */
import { sumTokens } from './prompt-parts.js';
import type { RequestAttributes } from './types.js';

/** Weight of a generated token relative to a prompt token, as in the configured engine throughput. */
const OUTPUT_WEIGHT = 2;
/** Expected fraction of the maximum output tokens; the errors of this estimate average out over a window. */
const OUTPUT_FRACTION = 0.5;

/** Returns the weighted tokens that a request counts for in its account's share. */
export function requestTokens(attributes: RequestAttributes): number {
  return attributes.promptTokens + OUTPUT_WEIGHT * OUTPUT_FRACTION * attributes.maxOutputTokens;
}

/**
 * Returns the attributes of a request as its service sees them: only model engines process tokens. Otherwise a caller could have other
 * servers taken for busy.
 */
export function withProcessedTokens(
  attributes: RequestAttributes,
  hasEngines: boolean,
): RequestAttributes {
  const statesNone = attributes.promptParts.length === 0 && requestTokens(attributes) === 0;
  if (hasEngines || statesNone) return attributes;
  return { ...attributes, promptParts: [], promptTokens: 0, maxOutputTokens: 0 };
}

/**
 * Returns whether the prompt is larger than the memory of the service's engines, so that none of them will ever run the request.
 * @param kvCapacityTokens capacity of one engine; undefined if it isn't known
 */
export function exceedsCapacity(
  { promptTokens, promptParts }: RequestAttributes,
  kvCapacityTokens: number | undefined,
): boolean {
  if (kvCapacityTokens === undefined) return false;
  return Math.max(promptTokens, sumTokens(promptParts)) > kvCapacityTokens;
}
