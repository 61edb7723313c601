/** Guards against a router that ends by its heap's limit because of bodies or responses in pieces of a few bytes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createByteCollector } from '../src/byte-collector.js';

const PIECES = 100_000;

test('small pieces are held in few buffers, in order between large ones', () => {
  const { add, chunks } = createByteCollector();
  const large = Buffer.alloc(5000, 'b');
  const expected = [];
  for (let n = 0; n < PIECES; n += 1) {
    const piece = Buffer.from([n % 256]);
    expected.push(piece);
    add(piece);
  }
  [large, Buffer.from('c'), large].forEach((piece) => {
    expected.push(piece);
    add(piece);
  });
  assert.ok(chunks().length < PIECES / 1000, `${chunks().length} buffers`);
  assert.ok(Buffer.concat(chunks()).equals(Buffer.concat(expected)));
});
