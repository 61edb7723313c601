/** Guards against a router that ends, exceeds its memory or answers nobody any more because of callers that keep to no limit (issue 60). */
import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { waitUntil } from '../standins/deployment.js';
import { sendAnswer } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';
import { callForStatus, withRouterProcess } from '../start/process-deployment.js';
import { CROWD_FORMS, LARGE_ANSWER, LARGE_PATH, openCrowd } from './crowd.js';
import type { CrowdForm } from './crowd.js';

/** Half of what the deploy file allows, so that a small crowd suffices. */
const NODE_ARGUMENTS = ['--max-old-space-size=64'];
const CROWD_SIZE = 60;
/** Descriptors besides those of the crowd, of which each caller may have one to a server as well. */
const OTHER_DESCRIPTORS = 100;
/** Time for which the crowd stays after it has written what is taken. */
const STAY_MS = 1000;

const handle = (arrival: Arrival) =>
  sendAnswer(arrival, arrival.req.url === LARGE_PATH ? LARGE_ANSWER : 'answer');

async function checkCrowd(memoryMb: number, forms: readonly CrowdForm[]): Promise<void> {
  const options = { handlers: [handle], memoryMb, nodeArguments: NODE_ARGUMENTS };
  await withRouterProcess(options, async ({ router, callers }) => {
    const crowd = openCrowd(callers, CROWD_SIZE, forms);
    await Promise.race([crowd.written, router.exited]);
    await Promise.race([delay(STAY_MS), router.exited]);
    // It fails if the process has ended.
    const status = await readFile(`/proc/${router.pid}/status`, 'utf8');
    const descriptors = (await readdir(`/proc/${router.pid}/fd`)).length;
    assert.ok(descriptors <= 2 * CROWD_SIZE + OTHER_DESCRIPTORS, `${descriptors} descriptors`);
    const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1024;
    assert.ok(peakMb < memoryMb, `${peakMb} MB`);
    await crowd.close();
    await waitUntil(async () => (await callForStatus(callers, '/once/ordinary')) === 200);
  });
}

for (const form of CROWD_FORMS)
  test(`a router lives, within 210 MB, and answers after a crowd with ${form}`, () =>
    checkCrowd(210, [form]));
for (const memoryMb of [210, 350])
  test(`a router lives, within ${memoryMb} MB, and answers after a crowd with all forms`, () =>
    checkCrowd(memoryMb, CROWD_FORMS));
