/** A prompt's own part and the parts that it shares with other prompts. */
import type { PromptPart } from './types.js';

/** Tokens of the last part, which is the request's own; 0 without a prompt. */
export function ownTokens(parts: readonly PromptPart[]): number {
  return parts[parts.length - 1]?.tokens ?? 0;
}

/** The parts before the request's own. */
export function sharedParts(parts: readonly PromptPart[]): PromptPart[] {
  return parts.slice(0, -1);
}
