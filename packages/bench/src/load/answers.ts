/** Computes the expected answers from the requests alone and checks received answers. */
import { createHash } from 'node:crypto';
import { AnswerCheck } from '../measure/types.js';

const DIGEST_CHARS = 12;
const RESULT_CHARS = 16;

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Returns the expected answer of an engine stand-in: tokens of the prompt's digest and an index. */
export function expectedChatAnswer(prompt: string, answerTokens: number): string {
  const digest = sha256(prompt).slice(0, DIGEST_CHARS);
  return Array.from({ length: answerTokens }, (_, i) => `${digest}:${i} `).join('');
}

/** Returns the expected answer of an application stand-in, with its fields joined by spaces. */
export function expectedPlainAnswer(method: string, path: string, body: string): string {
  const digest = sha256(body);
  const result = sha256(`${method} ${path} ${digest}`).slice(0, RESULT_CHARS);
  return [method, path, digest, result].join(' ');
}

/** Compares an answer that was delivered as complete with the expected one; a proper prefix is incomplete. */
export function checkAnswer(answer: string, expected: string): AnswerCheck {
  if (answer === expected) return AnswerCheck.Right;
  return expected.startsWith(answer) ? AnswerCheck.Incomplete : AnswerCheck.Wrong;
}
