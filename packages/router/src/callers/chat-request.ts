/** Parser for the fields of a chat completion request that the router uses. */
import { z } from 'zod';

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({})).min(1),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

/** Estimated length of a token, in bytes of JSON text. */
const BYTES_PER_TOKEN = 4;

/** Fields of a chat completion request that the router uses. */
export interface ChatRequest {
  model: string;
  /** Number of prompt tokens, estimated from the body's length. */
  promptTokens: number;
  maxTokens?: number;
}

/** Parses the body. Returns null if it is not a valid chat completion request. */
export function parseChatRequest(body: Buffer): ChatRequest | null {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString('utf8'));
  } catch {
    return null;
  }
  const result = chatSchema.safeParse(parsed);
  if (!result.success) return null;
  const { model, max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens } = result.data;
  return {
    model,
    promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN),
    maxTokens: maxCompletionTokens ?? maxTokens ?? undefined,
  };
}
