/** Answers in the shape of OpenAI's chat completions. */
import { answerToken, expectedAnswer, promptDigest } from './answer.js';
import type { ChatRequest } from './chat-request.js';

/** What the format of an answer needs to know. */
export interface AnswerFacts {
  requestId: string;
  request: ChatRequest;
  /** Epoch seconds. */
  createdSeconds: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
}

const usageOf = ({ request, cachedTokens }: AnswerFacts) => ({
  prompt_tokens: request.promptTokens,
  completion_tokens: request.answerTokens,
  total_tokens: request.promptTokens + request.answerTokens,
  prompt_tokens_details: { cached_tokens: cachedTokens },
});

const event = (data: unknown): string => `data: ${JSON.stringify(data)}\n\n`;

/** Renders the server-sent events of one streamed answer. */
export interface StreamFormat {
  /** The chunk that names the role. */
  first(): string;
  /** Tokens from `from` up to, not including, `to`. */
  tokens(from: number, to: number): string;
  /** The chunks after the last token. */
  last(facts: AnswerFacts): string;
}

/** Creates the format of one answer; the part that all token chunks share is rendered once. */
export const createStreamFormat = (facts: AnswerFacts): StreamFormat => {
  const { request } = facts;
  const digest = promptDigest(request.prompt);
  const base = {
    id: `chatcmpl-${facts.requestId}`,
    object: 'chat.completion.chunk',
    created: facts.createdSeconds,
    model: request.model,
  };
  const chunk = (delta: object, finishReason: string | null) =>
    event({ ...base, choices: [{ index: 0, delta, finish_reason: finishReason }] });
  // Token text needs no escaping in JSON, so a chunk is made by joining strings.
  const [head = '', tail = ''] = chunk({ content: '\u0000' }, null).split('\\u0000');

  return {
    first: () => chunk({ role: 'assistant', content: '' }, null),
    tokens: (from, to) => {
      let text = '';
      for (let index = from; index < to; index += 1) text += answerToken(digest, index);
      return head + text + tail;
    },
    last: (finalFacts) => {
      const usage = request.includeUsage
        ? event({ ...base, choices: [], usage: usageOf(finalFacts) })
        : '';
      return `${chunk({}, request.finishReason)}${usage}data: [DONE]\n\n`;
    },
  };
};

/** Renders a whole, not streamed, answer. */
export const formatWhole = (facts: AnswerFacts): string => {
  const { request } = facts;
  const content = expectedAnswer(request.prompt, request.answerTokens);
  return JSON.stringify({
    id: `chatcmpl-${facts.requestId}`,
    object: 'chat.completion',
    created: facts.createdSeconds,
    model: request.model,
    choices: [
      { index: 0, message: { role: 'assistant', content }, finish_reason: request.finishReason },
    ],
    usage: usageOf(facts),
  });
};
