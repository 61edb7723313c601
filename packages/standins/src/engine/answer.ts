/** Deterministic answer text, derived from the prompt alone. */
import { sha256 } from '../common/digest.js';

/** One part of the content of a chat message. */
export interface ContentPart {
  type: string;
  text?: string;
}

/** Fields of a chat message that the engine reads. */
export interface ChatMessage {
  role: string;
  content?: string | ContentPart[] | null;
}

const DIGEST_CHARS = 12;
const CHARS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 16;
const TOKENS_MARKER = /\[\[tokens=(\d{1,6})\]\]/;

const contentText = ({ content }: ChatMessage): string => {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
};

/** Joins the contents of the messages with line feeds. */
export const buildPrompt = (messages: ChatMessage[]): string =>
  messages.map(contentText).join('\n');

/** Returns the number of tokens of a prompt; at least 1. */
export const countPromptTokens = (prompt: string): number =>
  Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN));

/** Returns the answer length set by `[[tokens=N]]` in the last user message; 16 tokens without the marker. */
export const parseRequestedTokens = (messages: ChatMessage[]): number => {
  const last = messages.findLast(({ role }) => role === 'user');
  const match = last === undefined ? null : TOKENS_MARKER.exec(contentText(last));
  return match === null ? DEFAULT_ANSWER_TOKENS : Math.max(1, Number(match[1]));
};

/** Returns the short prompt digest that every token of the answer contains. */
export const promptDigest = (prompt: string): string => sha256(prompt).slice(0, DIGEST_CHARS);

/** Returns the text of one answer token. */
export const answerToken = (digest: string, index: number): string => `${digest}:${index} `;

/** Returns the complete answer to a prompt built by `buildPrompt`. */
export const expectedAnswer = (prompt: string, tokens: number): string => {
  const digest = promptDigest(prompt);
  return Array.from({ length: tokens }, (_, index) => answerToken(digest, index)).join('');
};

/** Returns one fingerprint per full prompt block; each covers the prompt from its start to the end of that block. */
export const prefixFingerprints = (prompt: string, blockTokens: number): string[] => {
  const blockChars = blockTokens * CHARS_PER_TOKEN;
  const fingerprints: string[] = [];
  let previous = '';
  for (let end = blockChars; end <= prompt.length; end += blockChars) {
    previous = sha256(previous + prompt.slice(end - blockChars, end)).slice(0, DIGEST_CHARS);
    fingerprints.push(previous);
  }
  return fingerprints;
};
