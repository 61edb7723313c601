/** Splits a prompt into the parts that other prompts may share and the request-specific last part. */
import type { PromptPart } from './types.js';

/** Tokens of the last part, which is specific to the request; 0 without a prompt. */
export function ownTokens(parts: readonly PromptPart[]): number {
  return parts[parts.length - 1]?.tokens ?? 0;
}

/** Parts before the request-specific one. */
export function sharedParts(parts: readonly PromptPart[]): PromptPart[] {
  return parts.slice(0, -1);
}

/** Ids of the parts before the request-specific one. */
export function sharedPartIds(parts: readonly PromptPart[]): string[] {
  return sharedParts(parts).map(({ id }) => id);
}

/** Tokens of all parts. */
export function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
