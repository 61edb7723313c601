/** Guards against responses and unfinished events that together exceed the memory, and against sound answers that fail first. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { divideMemory } from '../../src/memory-division.js';
import { createResponseMemory, HeldFor } from '../../src/relay/response-memory.js';
import type { MemoryAccount } from '../../src/relay/response-memory.js';

const MB = 1024 * 1024;
const MAX_BYTES = 20 * MB;

function createHolders() {
  const memory = createResponseMemory(MAX_BYTES);
  const givenUp: string[] = [];
  const open = (
    name: string,
    heldFor: HeldFor = HeldFor.Response,
    hasStatedLength = true,
  ): MemoryAccount =>
    memory.open({ heldFor, hasStatedLength, onGivenUp: () => givenUp.push(name) });
  const heldBytes = () => Object.values(HeldFor).reduce((sum, by) => sum + memory.heldBytes(by), 0);
  return { open, givenUp, heldBytes };
}

test('the answer that holds most is given up first, and ordinary ones have room', () => {
  const { open, givenUp, heldBytes } = createHolders();
  for (let n = 0; n < 1000; n += 1) open('ordinary').resize(4096);
  open('large').resize(5 * MB);
  for (let n = 0; n < 4000; n += 1) open('event', HeldFor.UnfinishedEvent).resize(256 * 1024);
  open('ordinary').resize(4096);
  open('flood').resize(8 * MB);
  assert.ok(heldBytes() <= MAX_BYTES, `${heldBytes()} bytes`);
  assert.equal(givenUp.includes('ordinary'), false);
  assert.equal(givenUp[0], 'large');
});

// Guards against a sound answer that is given up because it has received more than each of many answers without end.
test('large answers that may be without end are given up before one that states its length', () => {
  const { open, givenUp } = createHolders();
  const sound = open('sound');
  sound.resize(6 * MB);
  for (let n = 0; n < 200; n += 1) open('flood', HeldFor.Response, false).resize(MB);
  sound.resize(7 * MB);
  assert.equal(givenUp.includes('sound'), false);
  assert.ok(givenUp.length > 0);
});

test('responses that wait for their callers are never given up, and leave room for ordinary ones', () => {
  const { open, givenUp } = createHolders();
  for (let n = 0; n < 10; n += 1) {
    const response = open('waiting');
    response.resize(7 * MB);
    if (givenUp.length === 0) response.keep();
  }
  const before = givenUp.length;
  for (let n = 0; n < 400; n += 1) open('ordinary').resize(4096);
  assert.equal(givenUp.length, before);
});

test('the limit holds whatever responses hold, keep and give back', () => {
  const action = fc.record({
    index: fc.nat(30),
    bytes: fc.nat(4 * MB),
    kind: fc.constantFrom('resize', 'keep', 'close'),
  });
  fc.assert(
    fc.property(fc.array(action, { maxLength: 200 }), (actions) => {
      const { open, heldBytes } = createHolders();
      const accounts = Array.from({ length: 31 }, (_item, index) => open(String(index)));
      actions.forEach(({ index, bytes, kind }) => {
        if (kind === 'resize') accounts[index]!.resize(bytes);
        else if (kind === 'keep') accounts[index]!.keep();
        else accounts[index]!.close();
        assert.ok(heldBytes() <= MAX_BYTES, `${heldBytes()} bytes`);
      });
      accounts.forEach((account) => account.close());
      assert.equal(heldBytes(), 0);
    }),
    { seed: 52 },
  );
});

// Guards against parts whose sum exceeds the memory of a small machine.
test('the parts of the memory stay below it', () => {
  [200, 210, 250, 256, 350, 602, 4096].forEach((memoryMb) => {
    const bytes = Object.values(divideMemory(memoryMb)).reduce((sum: number, part) => sum + part);
    assert.ok(bytes < memoryMb * MB, `${bytes / MB} of ${memoryMb} MB`);
  });
});
