import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { checkAnswer, createSseReader, expectedChatAnswer } from '../../src/load/index.js';

const chunk = (content: string) =>
  `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`;

test('a stream reads the same wherever its pieces are cut', () => {
  const answer = expectedChatAnswer('a prompt', 5);
  const text = `${answer
    .split(' ')
    .slice(0, -1)
    .map((one) => chunk(`${one} `))
    .join('')}data: [DONE]\n\n`;
  fc.assert(
    fc.property(fc.array(fc.nat(text.length)), (cuts) => {
      const reader = createSseReader();
      const bounds = [0, ...cuts.sort((a, b) => a - b), text.length];
      bounds.slice(1).forEach((end, i) => reader.push(text.slice(bounds[i], end)));
      assert.deepEqual(reader.read(), { content: answer, isDone: true });
    }),
    { seed: 31, numRuns: 200 },
  );
});

test('an error event is seen', () => {
  const reader = createSseReader();
  reader.push(`${chunk('x')}data: {"error":{"code":"cut","ran":"unknown"}}\n\n`);
  assert.deepEqual(reader.read().error, { code: 'cut', ran: 'unknown' });
  assert.equal(reader.read().isDone, false);
});

test('answers are told apart: right, cut and foreign', () => {
  const expected = expectedChatAnswer('mine', 8);
  assert.equal(checkAnswer(expected, expected), 'right');
  assert.equal(checkAnswer(expected.slice(0, -4), expected), 'incomplete');
  assert.equal(checkAnswer('', expected), 'incomplete');
  assert.equal(checkAnswer(expectedChatAnswer('other', 8), expected), 'wrong');
  assert.equal(checkAnswer(`${expected}x`, expected), 'wrong');
});
