import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { checkAnswer, createSseReader, expectedChatAnswer } from '../../src/load/index.js';

const createChunk = (content: string) =>
  `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;

test('parses a stream identically however its body is split', () => {
  const answer = expectedChatAnswer('a prompt', 5);
  const text = `${answer
    .split(' ')
    .slice(0, -1)
    .map((token) => createChunk(`${token} `))
    .join('')}data: [DONE]\n\n`;
  fc.assert(
    fc.property(fc.array(fc.nat(text.length)), (splits) => {
      const reader = createSseReader();
      const bounds = [0, ...splits.sort((a, b) => a - b), text.length];
      bounds.slice(1).forEach((end, i) => reader.push(text.slice(bounds[i], end)));
      assert.deepEqual(reader.read(), { content: answer, isDone: true });
    }),
    { seed: 31, numRuns: 200 },
  );
});

test('reports the error event of a stream', () => {
  const reader = createSseReader();
  reader.push(`${createChunk('x')}data: {"error":{"code":"cut","ran":"unknown"}}\n\n`);
  assert.deepEqual(reader.read().error, { code: 'cut', ran: 'unknown' });
  assert.equal(reader.read().isDone, false);
});

test('distinguishes right, truncated and wrong answers', () => {
  const expected = expectedChatAnswer('mine', 8);
  assert.equal(checkAnswer(expected, expected), 'right');
  assert.equal(checkAnswer(expected.slice(0, -4), expected), 'incomplete');
  assert.equal(checkAnswer('', expected), 'incomplete');
  assert.equal(checkAnswer(expectedChatAnswer('other', 8), expected), 'wrong');
  assert.equal(checkAnswer(`${expected}x`, expected), 'wrong');
});
