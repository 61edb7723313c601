/** HTTP requests of each kind of call, and what their answers must be. */
import { expectedChatAnswer, expectedPlainAnswer } from './answers.js';
import { CallKind } from './types.js';
import type { Call, ScheduledRequest } from './types.js';

/** A call as HTTP, without authentication. */
export interface HttpCall {
  method: string;
  path: string;
  headers: Record<string, string>;
  body?: string;
  /** Whether the answer is a stream of server-sent events. */
  isStream: boolean;
  /** Text that the answer must contain once its envelope is removed. */
  expected: string;
  /** Takes the envelope off a whole answer. */
  readAnswer: (body: string) => string;
}

interface ChatCompletion {
  choices?: { message?: { content?: string } }[];
}

/** Path of records below each plain service; a POST to it is not idempotent. */
export const RECORD_PATH = '/records';

const FILLER = 'surface figure of the prism under review ';
const JSON_HEADERS = { 'content-type': 'application/json' };

/** Text of the length asked for that starts with the request's id, so that no two are alike. */
export function createText(id: string, chars: number): string {
  return `${id} ${FILLER.repeat(Math.ceil(chars / FILLER.length))}`.slice(
    0,
    Math.max(chars, id.length + 1),
  );
}

function readChat(body: string): string {
  return (JSON.parse(body) as ChatCompletion).choices?.[0]?.message?.content ?? '';
}

function chatCall({ id, call }: ScheduledRequest, isStream: boolean): HttpCall {
  const prompt = `${createText(id, call.promptChars)} [[tokens=${call.answerTokens}]]`;
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: JSON_HEADERS,
    body: JSON.stringify({
      model: call.service,
      messages: [{ role: 'user', content: prompt }],
      ...(isStream ? { stream: true, stream_options: { include_usage: true } } : {}),
    }),
    isStream,
    expected: expectedChatAnswer(prompt, call.answerTokens),
    readAnswer: readChat,
  };
}

/** An application backend server's answer, as one text. */
function readPlain(body: string): string {
  const { method, path, digest, result } = JSON.parse(body) as Record<string, string>;
  return [method, path, digest, result].join(' ');
}

function lookupCall({ id, call }: ScheduledRequest): HttpCall {
  const path = `/orders/${id}`;
  return {
    method: 'GET',
    path: `/services/${call.service}${path}`,
    headers: {},
    isStream: false,
    expected: expectedPlainAnswer('GET', path, ''),
    readAnswer: readPlain,
  };
}

function recordCall({ logicalId, call }: ScheduledRequest): HttpCall {
  const path = RECORD_PATH;
  const body = JSON.stringify({ batch: logicalId, note: createText(logicalId, call.promptChars) });
  return {
    method: 'POST',
    path: `/services/${call.service}${path}`,
    headers: JSON_HEADERS,
    body,
    isStream: false,
    expected: expectedPlainAnswer('POST', path, body),
    readAnswer: readPlain,
  };
}

const BUILDERS: Record<CallKind, (req: ScheduledRequest) => HttpCall> = {
  [CallKind.ChatStream]: (req) => chatCall(req, true),
  [CallKind.ChatWhole]: (req) => chatCall(req, false),
  [CallKind.Lookup]: lookupCall,
  [CallKind.Record]: recordCall,
};

/** HTTP form of a scheduled request. */
export function toHttpCall(req: ScheduledRequest): HttpCall {
  const http = BUILDERS[req.call.kind](req);
  if (req.idempotencyKey === undefined) return http;
  return { ...http, headers: { ...http.headers, 'idempotency-key': req.idempotencyKey } };
}

/** Whether a call may run more than once. A chat writes nothing, so it may. */
export function isIdempotent({ kind }: Call): boolean {
  return kind !== CallKind.Record;
}
