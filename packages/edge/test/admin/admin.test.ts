import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createDeployment } from '../standins/deployment.js';
import { sendAnswer } from '../standins/server-standin.js';

test('exposes served requests in the metrics and known servers in the state dump', async () => {
  const deployment = await createDeployment([(arrival) => sendAnswer(arrival)]);
  await deployment.call('/any/1');
  await deployment.call('/none/1');
  const fetchPage = async (path: string) =>
    (await fetch(`http://${deployment.settings.admin.address}${path}`)).text();
  const metrics = await fetchPage('/metrics');
  assert.match(metrics, /kingcupsill_answers_total\{status="200"\} 1/);
  assert.match(metrics, /kingcupsill_refusals_total\{code="unknown_route"\} 1/);
  assert.match(metrics, /kingcupsill_first_event_seconds_count\{service="s1"\} 1/);
  assert.match(metrics, /kingcupsill_log_lines_dropped 3/);
  assert.match(metrics, /kingcupsill_memory\{owner="heap_bytes"\} \d/);
  assert.match(metrics, /kingcupsill_memory\{owner="response_bytes"\} 0/);
  assert.match(metrics, /kingcupsill_accept_wait_seconds \d/);
  assert.match(metrics, /kingcupsill_store_calls_total\{kind="servers",outcome="ok"\} \d/);
  const state = JSON.parse(await fetchPage('/debug/state')) as {
    configuration: number;
    servers: { server: string }[];
  };
  assert.equal(state.configuration, 1);
  assert.deepEqual(
    state.servers.map(({ server }) => server),
    ['i-0@1'],
  );
  await deployment.close();
});
