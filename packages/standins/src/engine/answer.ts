/** What the engine answers: deterministic text from the prompt alone. */
import { sha256 } from '../common/digest.js';

/** A part of a chat message's content. */
export interface ContentPart {
  type: string;
  text?: string;
}

/** A chat message, as far as the engine reads it. */
export interface ChatMessage {
  role: string;
  content?: string | ContentPart[] | null;
}

const DIGEST_CHARS = 12;
const CHARS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 16;
const TOKENS_MARK = /\[\[tokens=(\d{1,6})\]\]/;

const textOf = ({ content }: ChatMessage): string => {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
};

/** The prompt text of messages: their contents, joined by line feeds. */
export const buildPrompt = (messages: ChatMessage[]): string => messages.map(textOf).join('\n');

/** Token count of a prompt. */
export const countPromptTokens = (prompt: string): number =>
  Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN));

/** Tokens that the last user message asks for by `[[tokens=N]]`; 16 without the mark. */
export const requestedTokens = (messages: ChatMessage[]): number => {
  const last = messages.findLast(({ role }) => role === 'user');
  const mark = last === undefined ? null : TOKENS_MARK.exec(textOf(last));
  return mark === null ? DEFAULT_ANSWER_TOKENS : Math.max(1, Number(mark[1]));
};

/** Short digest of a prompt that each token of its answer carries. */
export const promptDigest = (prompt: string): string => sha256(prompt).slice(0, DIGEST_CHARS);

/** Text of one token of the answer to the prompt with this digest. */
export const answerToken = (digest: string, index: number): string => `${digest}:${index} `;

/** The whole answer to a prompt; `prompt` is as `promptOf` makes it. */
export const expectedAnswer = (prompt: string, tokens: number): string => {
  const digest = promptDigest(prompt);
  return Array.from({ length: tokens }, (_, index) => answerToken(digest, index)).join('');
};

/** Fingerprints of a prompt's whole blocks; each covers the prompt from its start to the block's end. */
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
