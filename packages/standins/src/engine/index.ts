/** The emulated model engine. */
export { expectedAnswer, prefixFingerprints, buildPrompt } from './answer.js';
export type { ChatMessage, ContentPart } from './answer.js';
export { createEngineStandin } from './engine-standin.js';
export * from './types.js';
