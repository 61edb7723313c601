import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import { StoreKind } from '@kingcupsill/prepared-platform';
import { createDeployment, sampleEntry, waitUntil } from '../standins/deployment.js';
import type { CallerAnswer, Deployment } from '../standins/deployment.js';
import { signedHeaders } from '../standins/server-standin.js';
import type { Arrival } from '../standins/server-standin.js';

const SERVERS = 4;
const VERSIONS = ['v1', 'v1', 'v2', 'v2'];
const FIRST_EVENT = 'id: 1\ndata: x\n\n';
const LAST_EVENT = 'id: 2\ndata: end\n\n';

/** Sends one event of a new stream and leaves it open; completes a resumed stream. */
function handleStream(arrival: Arrival): void {
  const isResumed = arrival.header('last-event-id') !== undefined;
  const headers = signedHeaders(arrival, { 'Content-Type': 'text/event-stream' });
  arrival.res.writeHead(200, headers);
  if (isResumed) arrival.res.end(LAST_EVENT);
  else arrival.res.write(FIRST_EVENT);
}

async function withVersions(run: (deployment: Deployment) => Promise<void>): Promise<void> {
  const deployment = await createDeployment(Array.from({ length: SERVERS }, () => handleStream));
  try {
    const { store, servers } = deployment;
    servers.forEach(({ port }, index) =>
      store.put('servers', `i-${index}`, sampleEntry(port, { version: VERSIONS[index] })),
    );
    await waitUntil(() =>
      deployment.logLines.some(
        ({ event, fields }) =>
          event === 'versions-recorded' && /v1.*v2|v2.*v1/.test(String(fields.versions)),
      ),
    );
    await run(deployment);
  } finally {
    await deployment.close();
  }
}

/** Returns the version of each stream's server by the caller's attempt. */
function versionsByAttempt({ servers }: Deployment): Map<string, string> {
  return new Map(
    servers.flatMap(({ arrivals }, index) =>
      arrivals.map(({ header }): [string, string] => [header('attempt-id')!, VERSIONS[index]!]),
    ),
  );
}

function resume({ call }: Deployment, streamId: string): Promise<CallerAnswer> {
  const headers = {
    'Attempt-Id': `again-${streamId}`,
    Resumes: streamId,
    'Last-Event-Id': '1',
  };
  return call('/stream/1', { method: 'POST', headers });
}

// Guards against answers that are joined from two software versions after the router has lost its memory.
test('a caller resumes streams at their own versions after the router has been replaced', async () => {
  await withVersions(async (deployment) => {
    const ids = Array.from({ length: 12 }, (_none, index) => `s${index}`);
    const broken = ids.map((id) =>
      deployment
        .call('/stream/1', { method: 'POST', headers: { 'Attempt-Id': id } })
        .catch(() => undefined),
    );
    await waitUntil(() => versionsByAttempt(deployment).size === ids.length);
    // At least one write of the streams.
    await delay(500);
    const begunAt = versionsByAttempt(deployment);
    assert.equal(new Set(begunAt.values()).size, 2);
    await deployment.replaceRouter();
    await Promise.all(broken);
    const answers = await Promise.all(ids.map((id) => resume(deployment, id)));
    answers.forEach(({ status, body }) => assert.deepEqual([status, body], [200, LAST_EVENT]));
    const resumedAt = versionsByAttempt(deployment);
    ids.forEach((id) => assert.equal(resumedAt.get(`again-${id}`), begunAt.get(id)));
    assert.equal(
      deployment.store.listNames(StoreKind.Streams).filter((name) => name.includes('i1')).length,
      1,
    );

    const unknown = await resume(deployment, 'unknown');
    assert.equal(unknown.status, 503);
    assert.deepEqual(JSON.parse(unknown.body), { code: 'stream_version_unknown', ran: 'no' });
    assert.ok(Number(unknown.headers['retry-after']) > 0);
  });
});
