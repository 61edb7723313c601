/** Sends model and application requests through each router of the demo fleet and checks the answers. */
import type { Fleet } from '../fleet/index.js';
import { startFleet } from '../fleet/index.js';
import { CallKind, createLoadClient } from '../load/index.js';
import type { Call, ScheduledRequest } from '../load/index.js';
import { AnswerCheck, countRequests } from '../measure/index.js';
import type { RequestRecord } from '../measure/index.js';
import { readJournals } from '../observe/index.js';
import { waitUntilServing } from '../run/readiness.js';
import { DEMO_ACCOUNT, DEMO_API_KEY, DEMO_MODEL, DEMO_SERVICE, DEMO_TOPOLOGY } from './topology.js';

const DEMO_SEED = 1;
const PROMPT_CHARS = 80;
const ANSWER_TOKENS = 12;
const PREVIEW_CHARS = 48;

const CALLS: Call[] = [
  { kind: CallKind.ChatStream, service: DEMO_MODEL, answerTokens: ANSWER_TOKENS },
  { kind: CallKind.ChatWhole, service: DEMO_MODEL, answerTokens: ANSWER_TOKENS },
  { kind: CallKind.Lookup, service: DEMO_SERVICE, answerTokens: 0 },
  { kind: CallKind.Record, service: DEMO_SERVICE, answerTokens: 0 },
].map((call) => ({ ...call, promptChars: PROMPT_CHARS }));

function createDemoRequest(router: string, call: Call): ScheduledRequest {
  const id = `${router}-${call.kind}`;
  return { id, logicalId: id, atMs: 0, account: DEMO_ACCOUNT, routerPosition: 0, call };
}

/** Starts the demo fleet and resolves once every router is linked to every sidecar; closes the fleet on failure. */
export async function startDemoFleet(): Promise<Fleet> {
  const fleet = await startFleet({ topology: DEMO_TOPOLOGY, seed: DEMO_SEED });
  try {
    await waitUntilServing(fleet, DEMO_TOPOLOGY.backends.length);
    return fleet;
  } catch (err) {
    await fleet.close();
    throw err;
  }
}

function formatRecord(record: RequestRecord, text: string): string {
  const durationMs = Math.round(record.endMs - record.sentMs);
  const result = record.answer ?? `${record.outcome} (${record.code ?? record.status})`;
  return `${record.id.padEnd(34)} ${result.padEnd(10)} ${durationMs} ms  ${text.slice(0, PREVIEW_CHARS)}`;
}

/**
 * Sends each kind of request through each router and prints the answers.
 *
 * @returns true if every answer was right, no request ran twice and none was falsely refused
 */
export async function sendDemoRequests(
  fleet: Fleet,
  print: (line: string) => void,
): Promise<boolean> {
  const answers = new Map<string, string>();
  const client = createLoadClient({ onAnswer: (id, text) => answers.set(id, text) });
  const requests = fleet.routers.flatMap(({ name, url }) =>
    CALLS.map((call) => ({
      request: createDemoRequest(name, call),
      target: { router: name, url, apiKey: DEMO_API_KEY, pool: '' },
    })),
  );
  const records = await Promise.all(
    requests.map(({ request, target }) => client.send(request, target)),
  );
  await client.close();
  records.forEach((record) => print(formatRecord(record, answers.get(record.id) ?? '')));
  const runs = await readJournals(fleet);
  const rightCount = records.filter(({ answer }) => answer === AnswerCheck.Right).length;
  const { ranTwice, falseRefusals } = countRequests(records, runs);
  print(`${rightCount} of ${records.length} answers right, ${runs.length} runs at backend servers`);
  return rightCount === records.length && ranTwice === 0 && falseRefusals === 0;
}

/** Returns lines with the URLs of the fleet, the API key and an example request. */
export function describeFleet({ routers, platform }: Fleet): string[] {
  const [router] = routers;
  const body = JSON.stringify({
    model: DEMO_MODEL,
    stream: true,
    messages: [{ role: 'user', content: 'How long does the lap pitch cool?' }],
  });
  return [
    ...routers.map(({ name, url, adminUrl }) => `${name}: callers ${url}, admin ${adminUrl}`),
    `platform: ${platform.url}`,
    `API key: ${DEMO_API_KEY}`,
    `curl -N ${router?.url ?? ''}/v1/chat/completions -H 'authorization: Bearer ${DEMO_API_KEY}' ` +
      `-H 'content-type: application/json' -d '${body}'`,
  ];
}
