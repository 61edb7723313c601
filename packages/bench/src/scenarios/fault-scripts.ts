/** What the fault scenarios do to a fleet while it serves. */
import { setTimeout as sleep } from 'node:timers/promises';
import { patchConfig, setPlatformFault } from '../fleet/index.js';
import type { FleetProcess } from '../fleet/index.js';
import { wallClockMs } from '../load/index.js';
import type { Random } from '../load/index.js';
import type { FaultContext } from './types.js';

const MS_PER_SECOND = 1000;
const KILL_PERIOD_MS = 4000;
const DOWN_MS = 1000;
const PAUSE_PERIOD_MS = 8000;
const PAUSE_MS = 5000;

/** Faults go on for this part of the run, so that the fleet can recover within it. */
const LAST_FAULT_PART = 0.8;

function pick<T>(random: Random, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)] as T;
}

/** Drains one engine by the configuration, then a router and a sidecar by signal, and brings all back. */
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
  const engine = pick(
    random,
    fleet.topology.backends.filter(({ kind }) => kind === 'engine'),
  );
  const router = pick(random, fleet.routers);
  const sidecar = pick(
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
  note(`${engine.id} takes work again`);
  await router.restart();
  await returnToRotation(router);
  await waitForFraction(0.65);
  const sidecarExit = await sidecar.drain();
  note(`${sidecar.name} drained, exit ${sidecarExit.code ?? sidecarExit.signal}`);
  await waitForFraction(0.8);
  await sidecar.restart();
}

/** Ends one process at once and starts it again a little later. */
async function killAndRestart(context: FaultContext, victim: FleetProcess): Promise<void> {
  const isRouter = victim.role === 'router';
  await victim.kill();
  context.note(`killed ${victim.name}`);
  if (isRouter) context.removeFromRotation(victim);
  await sleep(DOWN_MS);
  await victim.restart();
  if (isRouter) await context.returnToRotation(victim);
}

/** Kills routers and sidecars in turn. */
export async function killInTurn(context: FaultContext): Promise<void> {
  const { fleet, random, seconds } = context;
  const endMs = performance.now() + seconds * MS_PER_SECOND * LAST_FAULT_PART;
  for (let turn = 0; performance.now() + KILL_PERIOD_MS < endMs; turn++) {
    await sleep(KILL_PERIOD_MS);
    await killAndRestart(context, pick(random, turn % 2 === 0 ? fleet.routers : fleet.sidecars));
  }
}

/** Pauses routers and sidecars, so that their links break while their state stays, and lets them rejoin. */
export async function pauseInTurn(context: FaultContext): Promise<void> {
  const { fleet, random, seconds, removeFromRotation, returnToRotation, note } = context;
  const endMs = performance.now() + seconds * MS_PER_SECOND * LAST_FAULT_PART;
  for (let turn = 0; performance.now() + PAUSE_PERIOD_MS + PAUSE_MS < endMs; turn++) {
    await sleep(PAUSE_PERIOD_MS);
    const victim = pick(random, turn % 2 === 0 ? fleet.routers : fleet.sidecars);
    const isRouter = victim.role === 'router';
    victim.pause();
    note(`paused ${victim.name}`);
    if (isRouter) removeFromRotation(victim);
    await sleep(PAUSE_MS);
    victim.resume();
    if (isRouter) await returnToRotation(victim);
  }
}

/** The object service is down, then slow, then loses answers of writes that took effect. */
export async function breakStore(context: FaultContext): Promise<void> {
  const { fleet, seconds, waitForFraction, note } = context;
  const spanMs = seconds * MS_PER_SECOND * 0.2;
  await waitForFraction(0.1);
  await setPlatformFault(fleet.platform, { kind: 'outage', durationMs: spanMs });
  note('object service down');
  await waitForFraction(0.4);
  await setPlatformFault(fleet.platform, { kind: 'slow', durationMs: spanMs, delayMs: 500 });
  note('object service slow');
  await waitForFraction(0.7);
  await setPlatformFault(fleet.platform, {
    kind: 'lose-answers',
    durationMs: spanMs,
    probability: 0.5,
  });
  note('object service loses answers');
}
