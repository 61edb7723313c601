/** Scripts that inject faults into a fleet under load. */
import { setTimeout as sleep } from 'node:timers/promises';
import { patchConfig, setPlatformFault } from '../fleet/index.js';
import type { FleetProcess } from '../fleet/index.js';
import { wallClockMs } from '../load/index.js';
import type { Random } from '../load/index.js';
import type { FaultContext } from './types.js';

const MS_PER_SECOND = 1000;
const KILL_INTERVAL_MS = 4000;
const DOWNTIME_MS = 1000;
const PAUSE_INTERVAL_MS = 8000;
const PAUSE_DURATION_MS = 5000;

/** Fraction of the run during which faults are injected; the rest is left for recovery. */
const FAULT_PERIOD_FRACTION = 0.8;

/** Returns a random element of a non-empty list. */
function pickRandom<T>(random: Random, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)] as T;
}

/** Drains an engine through the configuration, then a router and a sidecar by signal; returns each to service. */
export async function drainOneOfEach(context: FaultContext): Promise<void> {
  const {
    fleet,
    random,
    waitForFraction,
    removeFromRotation,
    returnToRotation,
    recordDrain,
    note,
  } = context;
  const engine = pickRandom(
    random,
    fleet.topology.backends.filter(({ kind }) => kind === 'engine'),
  );
  const router = pickRandom(random, fleet.routers);
  const sidecar = pickRandom(
    random,
    fleet.sidecars.filter(({ name }) => name !== `sidecar-${engine.id}`),
  );

  await waitForFraction(0.2);
  await patchConfig(fleet.platform, { backends: { [engine.id]: { draining: true } } });
  const startMs = wallClockMs();
  note(`draining ${engine.id} by configuration`);
  await waitForFraction(0.4);
  removeFromRotation(router);
  const routerExit = await router.drain();
  note(`${router.name} drained, exit ${routerExit.code ?? routerExit.signal}`);
  await waitForFraction(0.55);
  recordDrain({ backend: engine.id, startMs, endMs: wallClockMs() });
  await patchConfig(fleet.platform, { backends: { [engine.id]: { draining: false } } });
  note(`${engine.id} no longer draining`);
  await router.restart();
  await returnToRotation(router);
  await waitForFraction(0.65);
  const sidecarExit = await sidecar.drain();
  note(`${sidecar.name} drained, exit ${sidecarExit.code ?? sidecarExit.signal}`);
  await waitForFraction(0.8);
  await sidecar.restart();
}

/** Kills a process and restarts it after the downtime. */
async function killAndRestart(context: FaultContext, target: FleetProcess): Promise<void> {
  const isRouter = target.role === 'router';
  await target.kill();
  context.note(`killed ${target.name}`);
  if (isRouter) context.removeFromRotation(target);
  await sleep(DOWNTIME_MS);
  await target.restart();
  if (isRouter) await context.returnToRotation(target);
}

/** Kills and restarts routers and sidecars alternately. */
export async function killInTurn(context: FaultContext): Promise<void> {
  const { fleet, random, seconds } = context;
  const endMs = performance.now() + seconds * MS_PER_SECOND * FAULT_PERIOD_FRACTION;
  for (let turn = 0; performance.now() + KILL_INTERVAL_MS < endMs; turn++) {
    await sleep(KILL_INTERVAL_MS);
    await killAndRestart(
      context,
      pickRandom(random, turn % 2 === 0 ? fleet.routers : fleet.sidecars),
    );
  }
}

/** Pauses routers and sidecars alternately: their links break but they keep their state and rejoin on resume. */
export async function pauseInTurn(context: FaultContext): Promise<void> {
  const { fleet, random, seconds, removeFromRotation, returnToRotation, note } = context;
  const endMs = performance.now() + seconds * MS_PER_SECOND * FAULT_PERIOD_FRACTION;
  for (let turn = 0; performance.now() + PAUSE_INTERVAL_MS + PAUSE_DURATION_MS < endMs; turn++) {
    await sleep(PAUSE_INTERVAL_MS);
    const target = pickRandom(random, turn % 2 === 0 ? fleet.routers : fleet.sidecars);
    const isRouter = target.role === 'router';
    target.pause();
    note(`paused ${target.name}`);
    if (isRouter) removeFromRotation(target);
    await sleep(PAUSE_DURATION_MS);
    target.resume();
    if (isRouter) await returnToRotation(target);
  }
}

/** Makes the object service unavailable, then slow, then drops responses to writes that took effect. */
export async function injectStoreFaults(context: FaultContext): Promise<void> {
  const { fleet, seconds, waitForFraction, note } = context;
  const durationMs = seconds * MS_PER_SECOND * 0.2;
  await waitForFraction(0.1);
  await setPlatformFault(fleet.platform, { kind: 'outage', durationMs });
  note('object service unavailable');
  await waitForFraction(0.4);
  await setPlatformFault(fleet.platform, { kind: 'slow', durationMs, delayMs: 500 });
  note('object service slow');
  await waitForFraction(0.7);
  await setPlatformFault(fleet.platform, {
    kind: 'lose-answers',
    durationMs,
    probability: 0.5,
  });
  note('object service drops responses to writes');
}
