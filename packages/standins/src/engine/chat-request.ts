/** Parses chat completion requests. */
import { z } from 'zod';
import { countPromptTokens, buildPrompt, parseRequestedTokens } from './answer.js';

const contentPartSchema = z.looseObject({ type: z.string(), text: z.string().optional() });

const chatRequestSchema = z.looseObject({
  model: z.string(),
  messages: z
    .array(
      z.looseObject({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPartSchema), z.null()]).optional(),
      }),
    )
    .min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
});

/** A parsed chat completion request. */
export interface ChatRequest {
  model: string;
  stream: boolean;
  includeUsage: boolean;
  prompt: string;
  promptTokens: number;
  answerTokens: number;
  finishReason: 'stop' | 'length';
}

export type ChatRequestOutcome =
  { ok: true; request: ChatRequest } | { ok: false; message: string };

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
};

/** Parses and validates the body of `POST /v1/chat/completions`. */
export const parseChatRequest = (body: Buffer): ChatRequestOutcome => {
  const parsed = chatRequestSchema.safeParse(parseJson(body));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return { ok: false, message: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` };
  }
  const { data } = parsed;
  const prompt = buildPrompt(data.messages);
  const requestedTokens = parseRequestedTokens(data.messages);
  const maxTokens = data.max_completion_tokens ?? data.max_tokens ?? requestedTokens;
  return {
    ok: true,
    request: {
      model: data.model,
      stream: data.stream ?? false,
      includeUsage: data.stream_options?.include_usage ?? false,
      prompt,
      promptTokens: countPromptTokens(prompt),
      answerTokens: Math.min(requestedTokens, maxTokens),
      finishReason: maxTokens < requestedTokens ? 'length' : 'stop',
    },
  };
};
