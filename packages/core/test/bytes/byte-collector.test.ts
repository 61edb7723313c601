/** Guards against a router that ends by its heap's limit because of bodies or responses in pieces of a few bytes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createByteCollector } from '../../src/bytes/index.js';

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

// Guards against bodies and responses of which a limit counts less than they keep.
test('the memory that is kept is stated, and is at most a quarter more than the bytes', () => {
  const { add, chunks, heldBytes, clear } = createByteCollector();
  const pieces = [1000, 5000, 10, 70_000, 2000].flatMap((bytes) =>
    Array.from({ length: 50 }, () => Buffer.allocUnsafeSlow(bytes).fill(bytes % 251)),
  );
  pieces.forEach(add);
  const expected = Buffer.concat(pieces);
  assert.ok(Buffer.concat(chunks()).equals(expected));
  const buffers = new Set(chunks().map(({ buffer }) => buffer));
  const keptBytes = [...buffers].reduce((sum, { byteLength }) => sum + byteLength, 0);
  // Each of the 100 large pieces also keeps a buffer's own heap.
  assert.equal(heldBytes(), keptBytes + 100 * 200);
  assert.ok(keptBytes <= 1.25 * expected.length, `${keptBytes} bytes`);
  clear();
  assert.deepEqual([heldBytes(), chunks().length], [0, 0]);
});
