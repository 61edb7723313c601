/** Builds the HTTP request and the expected answer of each kind of call. */
import { expectedChatAnswer, expectedPlainAnswer } from './answers.js';
import { CallKind } from './types.js';
import type { Call, ScheduledRequest } from './types.js';

/** HTTP request of a call, without authentication headers. */
export interface HttpCall {
  method: string;
  path: string;
  headers: Record<string, string>;
  body?: string;
  /** Whether the response is a stream of server-sent events. */
  isStream: boolean;
  /** Expected answer text, without the JSON or event-stream envelope. */
  expected: string;
  /** Extracts the answer text from a non-streaming response body; throws if the body isn't JSON. */
  readAnswer: (body: string) => string;
}

interface ChatCompletion {
  choices?: { message?: { content?: string } }[];
}

/** Path of records under each plain service; a POST to it is not idempotent. */
export const RECORD_PATH = '/records';

const FILLER_TEXT = 'surface figure of the prism under review ';
const JSON_HEADERS = { 'content-type': 'application/json' };

/** Creates a text of the given length, at least the ID and one space; the leading ID makes it unique. */
export function createText(id: string, chars: number): string {
  return `${id} ${FILLER_TEXT.repeat(Math.ceil(chars / FILLER_TEXT.length))}`.slice(
    0,
    Math.max(chars, id.length + 1),
  );
}

/** Extracts the message content of a chat completion. */
function extractChatContent(body: string): string {
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
    readAnswer: extractChatContent,
  };
}

/** Joins the fields of an application backend server's answer with spaces. */
function extractPlainAnswer(body: string): string {
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
    readAnswer: extractPlainAnswer,
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
    readAnswer: extractPlainAnswer,
  };
}

const BUILDERS: Record<CallKind, (req: ScheduledRequest) => HttpCall> = {
  [CallKind.ChatStream]: (req) => chatCall(req, true),
  [CallKind.ChatWhole]: (req) => chatCall(req, false),
  [CallKind.Lookup]: lookupCall,
  [CallKind.Record]: recordCall,
};

/** Returns the HTTP request of a scheduled request. */
export function toHttpCall(req: ScheduledRequest): HttpCall {
  const http = BUILDERS[req.call.kind](req);
  if (req.idempotencyKey === undefined) return http;
  return { ...http, headers: { ...http.headers, 'idempotency-key': req.idempotencyKey } };
}

/** Returns whether a call may be executed more than once. A chat writes nothing, so it is idempotent. */
export function isIdempotent({ kind }: Call): boolean {
  return kind !== CallKind.Record;
}
