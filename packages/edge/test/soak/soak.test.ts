/** Runs a short soak and verifies that every check of a promise detects its violation. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { createRandom } from '@kingcupsill/bench';
import { Behaviour } from './backends.js';
import type { Backend } from './backends.js';
import { createFaultSchedule, FAULT_KINDS, injectFault } from './faults.js';
import type { FaultTargets } from './faults.js';
import { findBreaches, findWorkAfterDeparture } from './find-breaches.js';
import type { Observations } from './find-breaches.js';
import { findCutAnswers, findCutsInStops, findProcessBreaches } from './find-process-breaches.js';
import type { StoreStandin } from '../standins/store-standin.js';
import type { Callers } from './callers.js';
import { createOperator } from './operator.js';
import { createProxy, ProxyMode } from './proxy.js';
import { ExitCode, formatReport, judge } from './report.js';
import type { Router } from './routers.js';
import { runSoak } from './run-soak.js';
import type { SoakResult } from './run-soak.js';
import { DisruptionCause, EndRequest, RouteKind } from './types.js';
import type { Call, ProcessRecord, RouterDisruption, Run, TimeSpan } from './types.js';
import { answerBody, DEADLINE_MS, STREAM_EVENTS, streamEvent } from './workload.js';

const ID = 'c1';

function createCall(overrides: Partial<Call> = {}): Call {
  const kind = overrides.kind ?? RouteKind.Unsafe;
  const path = `/${kind}/1`;
  return {
    attemptId: ID,
    kind,
    path,
    routerProcess: 'router-0#1',
    deadlineMs: DEADLINE_MS,
    sentAtMs: 1000,
    lastByteAtMs: 1000,
    endedAtMs: 1100,
    status: 200,
    headers: { 'response-signature': 'signed', 'attempt-id': ID },
    body: answerBody(ID, path),
    complete: true,
    ...overrides,
  };
}

const run: Run = {
  attemptId: ID,
  server: 'i-0',
  atMs: 1050,
  behaviour: Behaviour.Serve,
  endedAtMs: 1090,
};

function createObservations(overrides: Partial<Observations>): Observations {
  return {
    calls: [],
    runs: [],
    routerDisruptions: new Map(),
    processes: [],
    serverDisruptions: [],
    graceMs: 8000,
    storeDisruptions: [],
    departures: [],
    ...overrides,
  };
}

function findBrokenPromises(
  recordedCall: Call,
  runs: Run[] = [run],
  spans: RouterDisruption[] = [],
): string[] {
  const routerDisruptions = new Map([['router-0', spans]]);
  const observations = createObservations({ calls: [recordedCall], runs, routerDisruptions });
  return findBreaches(observations).map(({ promise }) => promise);
}

test('reports no breach for a correct answer', () => {
  const body = Array.from({ length: STREAM_EVENTS }, (_none, index) =>
    streamEvent(ID, index + 1, 'v1'),
  );
  assert.deepEqual(findBrokenPromises(createCall()), []);
  assert.deepEqual(
    findBrokenPromises(createCall({ kind: RouteKind.NonResumableStream, body: body.join('') })),
    [],
  );
});

test('detects the violation of each promise', () => {
  const rejection = { status: 503, body: '', headers: { 'retry-after': '1' } };
  const cases: [string, Call, Run[]?][] = [
    ['whole answers', createCall({ body: answerBody('c2', '/once/1') })],
    ['whole answers', createCall({ body: answerBody(ID, '/once/1').slice(0, 9) })],
    ['whole answers', createCall({ headers: { 'attempt-id': ID } })],
    [
      'whole answers',
      createCall({ headers: { 'response-signature': 'signed', 'attempt-id': 'c2' } }),
    ],
    [
      'whole answers',
      createCall({
        kind: RouteKind.NonResumableStream,
        body: streamEvent(ID, 2, 'v1'),
        complete: false,
      }),
    ],
    [
      'whole answers',
      createCall({
        kind: RouteKind.ResumableStream,
        body: streamEvent(ID, 1, 'v1') + streamEvent(ID, 2, 'v2'),
        complete: false,
      }),
    ],
    ['nothing allowed is denied', createCall({ status: 404 })],
    ['rejections say when to come back', createCall({ ...rejection, headers: {} }), []],
    ['requests end in time', createCall({ endedAtMs: 6000 })],
    ['answers are not cut', createCall({ status: undefined })],
    ['at most one run', createCall(), [run, run]],
    ['not run is true', createCall(rejection)],
  ];
  cases.forEach(([promise, recordedCall, runs]) =>
    assert.deepEqual(findBrokenPromises(recordedCall, runs), [promise]),
  );
});

test('allows lost answers of a router that was killed during the call', () => {
  const span = { cause: DisruptionCause.Fault, fromMs: 1040, untilMs: 1500 };
  assert.deepEqual(findBrokenPromises(createCall({ status: undefined }), [run], [span]), []);
});

test('detects work at a departed server after the grace time, unless the store was disrupted', () => {
  const departures = [{ server: 'i-0', fromMs: 1000, untilMs: 9000 }];
  const countLateRuns = (sentAtMs: number, storeDisruptions: TimeSpan[] = []) =>
    findWorkAfterDeparture(
      createObservations({
        calls: [createCall({ sentAtMs })],
        runs: [{ ...run, atMs: sentAtMs + 10 }],
        storeDisruptions,
        departures,
      }),
    ).length;
  assert.equal(countLateRuns(3400), 0);
  assert.equal(countLateRuns(3600), 1);
  assert.equal(countLateRuns(3600, [{ fromMs: 2000, untilMs: 2100 }]), 0);
  assert.equal(countLateRuns(9100), 0);
});

const stoppedProcess: ProcessRecord = {
  name: 'router-0#1',
  startedAtMs: 0,
  endRequest: EndRequest.Stop,
  stopRequestedAtMs: 10_000,
  end: { atMs: 17_700, code: 0, signal: null },
  peakMemoryMb: 100,
};

test('detects processes that end by themselves, also by a SIGHUP or in a planned stop, and memory over the limit', () => {
  const findPromises = (overrides: Partial<ProcessRecord>) =>
    findProcessBreaches([{ ...stoppedProcess, ...overrides }], 350).map(({ promise }) => promise);
  const ownEnd = ['no process ends by itself'];
  const end = (code: number | null, signal: NodeJS.Signals | null) => ({ atMs: 90, code, signal });
  assert.deepEqual(findPromises({}), []);
  assert.deepEqual(findPromises({ end: end(null, 'SIGTERM') }), []);
  assert.deepEqual(findPromises({ endRequest: EndRequest.Kill, end: end(null, 'SIGKILL') }), []);
  assert.deepEqual(findPromises({ end: undefined }), []);
  assert.deepEqual(findPromises({ endRequest: undefined, end: end(0, null) }), ownEnd);
  assert.deepEqual(findPromises({ endRequest: undefined, end: end(null, 'SIGHUP') }), ownEnd);
  assert.deepEqual(findPromises({ end: end(null, 'SIGHUP') }), ownEnd);
  assert.deepEqual(findPromises({ end: end(70, null) }), ownEnd);
  assert.deepEqual(findPromises({ peakMemoryMb: 351 }), ['memory stays within its limit']);
});

test('detects answers that a planned stop cuts, unless the rules allow it', () => {
  const countCuts = (
    call: Partial<Call>,
    runs: Run[] = [{ ...run, atMs: 13_600, endedAtMs: 17_600 }],
    others: Partial<Observations> = {},
  ) => {
    const { Unsafe: kind } = RouteKind;
    const sent = { kind, sentAtMs: 13_500, lastByteAtMs: 13_500, endedAtMs: 17_600 };
    const recordedCall = createCall({ ...sent, deadlineMs: 9000, status: undefined, ...call });
    const processes = [stoppedProcess];
    const observations = createObservations({ calls: [recordedCall], runs, processes, ...others });
    return findCutsInStops(findCutAnswers(observations)).length;
  };
  assert.equal(countCuts({}), 1);
  assert.equal(countCuts({ kind: RouteKind.ResumableStream, status: 200, complete: false }), 1);
  assert.equal(countCuts({}, []), 1, 'not passed on, cut long after its last byte');
  assert.equal(countCuts({ status: 200 }), 0);
  assert.equal(countCuts({ status: 503 }), 0);
  assert.equal(countCuts({ endedAtMs: 13_600 }, []), 0, 'not passed on, cut at its last byte');
  assert.equal(countCuts({ lastByteAtMs: 12_900 }), 0, 'sent early, its server works late');
  assert.equal(countCuts({ lastByteAtMs: 12_900, endedAtMs: 15_000 }, [run]), 1);
  assert.equal(countCuts({ deadlineMs: 4000 }), 0);
  assert.equal(countCuts({}, [{ ...run, behaviour: Behaviour.Break }]), 0);
  const span = { fromMs: 14_000, untilMs: 14_100 };
  assert.equal(countCuts({}, [run], { serverDisruptions: [{ ...span, server: 'i-0' }] }), 0);
  assert.equal(countCuts({}, [run], { serverDisruptions: [{ ...span, server: 'i-1' }] }), 1);
  const countWithDisruption = (cause: DisruptionCause) =>
    countCuts({}, [run], { routerDisruptions: new Map([['router-0', [{ ...span, cause }]]]) });
  assert.equal(countWithDisruption(DisruptionCause.Fault), 0);
  assert.equal(countWithDisruption(DisruptionCause.PlannedStop), 1);
});

test('a run whose own event loop was late is judged only by promises without a time bound', () => {
  const certain = [{ promise: 'whole answers', detail: '' }];
  const timed = [{ promise: 'requests end in time', detail: '' }];
  assert.equal(judge({ breaches: [], ownLagMs: 499 }).exitCode, ExitCode.Held);
  assert.equal(judge({ breaches: timed, ownLagMs: 499 }).exitCode, ExitCode.Broken);
  assert.equal(judge({ breaches: [], ownLagMs: 501 }).exitCode, ExitCode.NotJudged);
  assert.equal(judge({ breaches: timed, ownLagMs: 501 }).exitCode, ExitCode.NotJudged);
  assert.equal(judge({ breaches: certain, ownLagMs: 501 }).exitCode, ExitCode.Broken);
});

test('generates the same faults for the same seed, and every kind of fault', () => {
  const createSchedule = (seed: number) =>
    createFaultSchedule({
      random: createRandom(seed, 'faults'),
      runDurationMs: 600_000,
      meanIntervalMs: 700,
    });
  assert.deepEqual(createSchedule(5), createSchedule(5));
  assert.notDeepEqual(createSchedule(5), createSchedule(6));
  assert.equal(new Set(createSchedule(5).map(({ kind }) => kind)).size, FAULT_KINDS.length);
});

/** Runs a short soak; repeats it if its own event loop was late, since the promises with a time bound can't be judged then. */
async function runJudgedSoak(triesLeft = 3): Promise<SoakResult> {
  const result = await runSoak({
    seed: 1,
    durationMs: 8000,
    routers: 3,
    callers: 12,
    ratePerS: 40,
    graceS: 4,
    // No process can handle signals before its runtime has started.
    reloadsFromHandler: 1,
  });
  const isJudged = judge(result).exitCode !== ExitCode.NotJudged;
  return isJudged || triesLeft === 1 ? result : runJudgedSoak(triesLeft - 1);
}

test('keeps every promise in a short run', { timeout: 90_000 }, async () => {
  const result = await runJudgedSoak();
  assert.equal(judge(result).exitCode, ExitCode.Held, formatReport(result).join('\n'));
  const { served, requests } = result;
  assert.ok(served > requests / 2, `${served} of ${requests} served`);
});

// Guards against answers that the proxy itself truncates: an end that overtakes delayed bytes looks like a whole answer.
test('the end of a connection does not overtake bytes that the proxy delays', async () => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const proxy = await createProxy((server.address() as AddressInfo).port);
  proxy.setMode(ProxyMode.Delay);
  server.on('connection', (socket) => {
    // Closing the proxy resets the connections that it still has.
    socket.on('error', () => undefined);
    socket.write('first');
    setTimeout(() => {
      proxy.setMode(ProxyMode.Pass);
      socket.end('second');
    }, 50);
  });
  const socket = connect(proxy.port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  await once(socket, 'close');
  proxy.close();
  server.close();
  assert.equal(received, 'firstsecond');
});

// Guards against a check that takes the refusal of a router without servers for a version in force, and then its true version for a reversal.
test('reports a reverted configuration, but not after a refusal that tells nothing about the version', async () => {
  const answers: Record<string, Partial<Call>> = {};
  const callers = { send: async (_router: Router, path: string) => createCall(answers[path]) };
  const routers = [{ processName: () => 'router-0#1' }] as Router[];
  const store = { put: () => undefined } as unknown as StoreStandin;
  const operator = createOperator(store, routers, () => callers as unknown as Callers, 1);
  operator.changeConfiguration();
  await operator.checkConfigurations();
  operator.changeConfiguration();
  answers['/added-3/x'] = { status: 503, body: '{"code":"no_configuration","ran":"no"}' };
  await operator.checkConfigurations();
  answers['/added-3/x'] = { status: 404 };
  await operator.checkConfigurations();
  assert.deepEqual(operator.breaches, []);
  answers['/added-2/x'] = { status: 404 };
  await operator.checkConfigurations();
  const detail = 'router-0#1, version 2';
  assert.deepEqual(operator.breaches, [{ promise: 'configurations never revert', detail }]);
});

// Guards against work that is taken for that of a departed server, which has come back after an earlier departure (seed 880301).
test('departures of one server do not overlap', () => {
  const backend = { id: 'i-0', register() {}, deregister() {}, restart() {} } as unknown as Backend;
  const targets = { backends: [backend], departures: [] } as unknown as FaultTargets;
  for (const kind of ['server-leaves', 'server-drains'] as const)
    void injectFault(targets, { kind, atMs: 0, durationMs: 0, selector: 0 });
  assert.equal(targets.departures.length, 1);
});
