/** Test fixture: routers with servers that certain requests crash, on a simulated clock. */
import { AttemptOutcome, createReporter } from '../../src/direct/index.js';
import type { DirectEffect, RequestAttributes, RouterReport } from '../../src/direct/index.js';
import { createSampleRouter, sampleConfig, sampleEntry } from './sample.js';
import type { SampleRouter } from './sample.js';

type Send = Extract<DirectEffect, { kind: 'send' }>;

const STEP_MS = 100;
const RESTART_MS = 2000;
const SERVERS = 8;

interface OpenSend extends Send {
  router: SampleRouter;
  crashes: boolean;
}

export interface Totals {
  /** Times at which a request with the crashing part was sent to a server. */
  crashingSentAtMs: number[];
  /** Times at which the servers crashed. */
  crashedAtMs: number[];
  soundSent: { atMs: number; isRetry: boolean }[];
  soundRefusedAtMs: number[];
}

export function isSend(effect: DirectEffect): effect is Send {
  return effect.kind === 'send';
}

/** Routers that share servers; some requests crash their server when it begins to answer them. */
export function createSimulation(routerCount: number, config = sampleConfig()) {
  const entries = Array.from({ length: SERVERS }, (_none, index) => sampleEntry(`e${index}`));
  const routers = Array.from({ length: routerCount }, () => createSampleRouter(entries, config));
  const reporters = routers.map((_router, index) => createReporter(`r${index}`));
  const totals: Totals = {
    crashingSentAtMs: [],
    crashedAtMs: [],
    soundSent: [],
    soundRefusedAtMs: [],
  };
  const restarts: { atMs: number; id: string }[] = [];
  let open: OpenSend[] = [];
  const now = () => routers[0]!.now();

  function follow(router: SampleRouter, effects: DirectEffect[], crashes: boolean): void {
    effects.forEach((effect) => {
      if (isSend(effect)) {
        open.push({ ...effect, router, crashes });
        if (crashes) totals.crashingSentAtMs.push(now());
        else totals.soundSent.push({ atMs: now(), isRetry: effect.isRetry });
      } else if (effect.kind === 'refuse' && !crashes) totals.soundRefusedAtMs.push(now());
    });
  }

  function endAttempt(send: OpenSend, outcome: AttemptOutcome): void {
    const { router, attempt, crashes } = send;
    follow(
      router,
      router.dispatch({ kind: 'attempt-ended', attempt, outcome, detail: '' }),
      crashes,
    );
  }

  function crash(key: string): void {
    totals.crashedAtMs.push(now());
    const lost = open.filter((send) => send.serverKey === key);
    open = open.filter((send) => send.serverKey !== key);
    lost.forEach((send) => endAttempt(send, AttemptOutcome.Unknown));
    const id = key.split('@')[0]!;
    routers.forEach((router) => router.dispatch({ kind: 'server-removed', id }));
    restarts.push({ atMs: now() + RESTART_MS, id });
  }

  function answer(send: OpenSend): void {
    const { router, attempt } = send;
    router.dispatch({ kind: 'attempt-begun', attempt });
    router.dispatch({ kind: 'events-delivered', request: send.request, lastEventId: '1' });
    endAttempt(send, AttemptOutcome.Complete);
  }

  function restartServers(): void {
    restarts
      .filter(({ atMs }) => atMs <= now())
      .forEach((restart) => {
        restarts.splice(restarts.indexOf(restart), 1);
        const entry = sampleEntry(restart.id, { startedAtMs: now() });
        routers.forEach((router) => router.dispatch({ kind: 'server-changed', entry }));
      });
  }

  function exchangeReports(): void {
    const reports = routers.map((router, index) =>
      reporters[index]!.compose(router.state, router.now()),
    );
    routers.forEach((router, index) => {
      reports.forEach((report: RouterReport | undefined, from) => {
        if (report !== undefined && from !== index)
          router.dispatch({ kind: 'peer-report', report });
      });
    });
  }

  return {
    totals,
    routers,
    now,
    /** Sends a request through one of the routers. */
    sendRequest(
      router: SampleRouter,
      id: string,
      attributes: Partial<RequestAttributes>,
      crashes: boolean,
    ): void {
      follow(router, router.request(id, attributes), crashes);
    },
    /** Sends a request through one of the routers; its prompt consists of the parts and one of its own. */
    send(router: SampleRouter, id: string, parts: string[]): void {
      const promptParts = [...parts, `own-${id}`].map((part) => ({ id: part, tokens: 200 }));
      const attributes = { promptParts, promptTokens: promptParts.length * 200 };
      follow(router, router.request(id, attributes), parts.includes('crashing'));
    },
    step(): void {
      const [crashing] = open.filter(({ crashes }) => crashes);
      const sound = open.filter(({ crashes }) => !crashes);
      open = open.filter((send) => !sound.includes(send));
      sound.forEach((send) => {
        if (send.serverKey === crashing?.serverKey) open.push(send);
        else answer(send);
      });
      if (crashing !== undefined) crash(crashing.serverKey);
      routers.forEach((router) => router.advance(STEP_MS));
      restartServers();
      routers.forEach((router) => router.dispatch({ kind: 'tick' }));
      exchangeReports();
    },
  };
}
