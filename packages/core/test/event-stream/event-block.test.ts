/** Guards against blocks of a stream that are decoded otherwise than their definition says. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createEventSplitter } from '../../src/event-stream/index.js';
import type { EventBlock } from '../../src/event-stream/index.js';

/** Definition: blank lines end a block, and three kinds of line breaks end a line. */
function decodeNaively(text: string): EventBlock[] {
  let start = 0;
  return [...text.matchAll(/\n(?:\r?\n)+/g)].map((match) => {
    const end = match.index + match[0].length;
    const lines = text.slice(start, end).split(/\r\n|\r|\n/);
    start = end;
    const id = lines
      .findLast((line) => /^id(?::|$)/.test(line))
      ?.slice(3)
      .trim();
    return {
      end,
      isEvent: lines.some((line) => line !== '' && !line.startsWith(':')),
      isWellFormed: lines.every((line) =>
        /^(?:\u00ef\u00bb\u00bf)?(?::|$|[a-z][a-z0-9_-]*(?::|$))/.test(line),
      ),
      id: id === '' ? undefined : id,
    };
  });
}

test('decodes any text like the naive definition, wherever a chunk of it ends', () => {
  const parts = [
    '\n',
    '\n',
    '\r',
    '\r\n',
    ':',
    ' ',
    'id',
    'id: 7',
    'data',
    'A',
    '\u00ef\u00bb\u00bf',
  ];
  const texts = fc.array(fc.constantFrom(...parts), { maxLength: 14 }).map((list) => list.join(''));
  const property = fc.property(texts, fc.nat(40), (text, cut) => {
    const splitter = createEventSplitter();
    const chunks = [text.slice(0, cut), text.slice(cut)];
    const received = chunks.map((chunk) => splitter.push(Buffer.from(chunk, 'latin1')));
    received.forEach((events) => {
      if (events !== undefined)
        assert.deepEqual(events.blocks, decodeNaively(events.bytes.toString('latin1')));
    });
    const passed = received.map((events) => events?.bytes.toString('latin1') ?? '').join('');
    assert.equal(passed + splitter.remainder().toString('latin1'), text);
  });
  fc.assert(property, { seed: 20261206, numRuns: 3000 });
});
