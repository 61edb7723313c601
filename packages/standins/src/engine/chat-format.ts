/** Formats answers as OpenAI chat completions. */
import { answerToken, expectedAnswer, promptDigest } from './answer.js';
import type { ChatRequest } from './chat-request.js';

/** Request data needed to format an answer. */
export interface AnswerContext {
  requestId: string;
  request: ChatRequest;
  /** Creation time in epoch seconds. */
  createdSeconds: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
}

const buildUsage = ({ request, cachedTokens }: AnswerContext) => ({
  prompt_tokens: request.promptTokens,
  completion_tokens: request.answerTokens,
  total_tokens: request.promptTokens + request.answerTokens,
  prompt_tokens_details: { cached_tokens: cachedTokens },
});

const formatEvent = (data: unknown): string => `data: ${JSON.stringify(data)}\n\n`;

/** Formats the server-sent events of one streamed answer. */
export interface StreamFormatter {
  /** Returns the chunk with the role. */
  firstChunk(): string;
  /** Returns one chunk with the tokens from `from` (inclusive) to `to` (exclusive). */
  tokenChunk(from: number, to: number): string;
  /** Returns the events after the last token. */
  finalChunks(context: AnswerContext): string;
}

/** Creates a formatter for one answer; the common part of all token chunks is serialized only once. */
export const createStreamFormatter = (context: AnswerContext): StreamFormatter => {
  const { request } = context;
  const digest = promptDigest(request.prompt);
  const base = {
    id: `chatcmpl-${context.requestId}`,
    object: 'chat.completion.chunk',
    created: context.createdSeconds,
    model: request.model,
  };
  const formatChunk = (delta: object, finishReason: string | null) =>
    formatEvent({ ...base, choices: [{ index: 0, delta, finish_reason: finishReason }] });
  // Token text needs no JSON escaping, so chunks can be built by string concatenation.
  const [prefix = '', suffix = ''] = formatChunk({ content: '\u0000' }, null).split('\\u0000');

  return {
    firstChunk: () => formatChunk({ role: 'assistant', content: '' }, null),
    tokenChunk: (from, to) => {
      let text = '';
      for (let index = from; index < to; index += 1) text += answerToken(digest, index);
      return prefix + text + suffix;
    },
    finalChunks: (finalContext) => {
      const usage = request.includeUsage
        ? formatEvent({ ...base, choices: [], usage: buildUsage(finalContext) })
        : '';
      return `${formatChunk({}, request.finishReason)}${usage}data: [DONE]\n\n`;
    },
  };
};

/** Formats a complete answer as the body of a non-streamed response. */
export const formatCompletion = (context: AnswerContext): string => {
  const { request } = context;
  const content = expectedAnswer(request.prompt, request.answerTokens);
  return JSON.stringify({
    id: `chatcmpl-${context.requestId}`,
    object: 'chat.completion',
    created: context.createdSeconds,
    model: request.model,
    choices: [
      { index: 0, message: { role: 'assistant', content }, finish_reason: request.finishReason },
    ],
    usage: buildUsage(context),
  });
};
