/** Reads the parts of a chat completion request that the router needs. */
import { z } from 'zod';

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({})).min(1),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

/** Rough length of a token in bytes of JSON text. */
const BYTES_PER_TOKEN = 4;

/** What the router reads from a chat completion request. */
export interface ChatRequest {
  model: string;
  /** Estimated from the body's length. */
  promptTokens: number;
  maxTokens?: number;
}

/** Parses the body; null when it is not a chat completion request. */
export function parseChatRequest(body: Buffer): ChatRequest | null {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString('utf8'));
  } catch {
    return null;
  }
  const checked = chatSchema.safeParse(parsed);
  if (!checked.success) return null;
  const { model, max_tokens: maxTokens, max_completion_tokens: maxNew } = checked.data;
  return {
    model,
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    maxTokens: maxNew ?? maxTokens ?? undefined,
  };
}
