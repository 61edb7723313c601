/** Guards against answers to malformed requests that are lost because the router closes the connection while the rest arrives. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { withDeployment } from '../standins/deployment.js';
import { createRawCaller, requestHead } from '../standins/raw-caller.js';
import { sendAnswer } from '../standins/server-standin.js';

const REST = Array<string>(8).fill('x'.repeat(25_000));
const HEADS = {
  400: 'NO REQUEST\r\n\r\n',
  431: requestHead('/any/1', [`Long: ${'x'.repeat(70_000)}`]),
};

Object.entries(HEADS).forEach(([status, head]) => {
  test(`a connection whose request is answered ${status} is not reset while its caller sends the rest`, async () => {
    await withDeployment([(arrival) => sendAnswer(arrival)], async (deployment) => {
      const caller = createRawCaller(deployment);
      caller.write(head);
      for (const part of REST) {
        await delay(50);
        caller.write(part);
      }
      await delay(100);
      assert.equal(await caller.answer(), status);
      assert.equal(caller.error(), undefined);
      caller.close();
    });
  });
});
