/** Checks the records of the routers' processes. */
import { hasEndedByItself } from './router-process.js';
import type { Breach, ProcessRecord } from './types.js';

/** Returns a breach for each process that ended although the soak didn't end it, and for each that exceeded `memoryLimitMb`. */
export function findProcessBreaches(
  processes: readonly ProcessRecord[],
  memoryLimitMb: number,
): Breach[] {
  const ownEnds = processes.filter(hasEndedByItself).map((record) => {
    const { name, startedAtMs, stopRequestedAtMs, end } = record;
    const inStop = stopRequestedAtMs === undefined ? '' : ', in a planned stop';
    const cause = end!.signal ?? `exit code ${end!.code}`;
    return {
      promise: 'no process ends by itself',
      detail: `${name}: ${cause} ${Math.round(end!.atMs - startedAtMs)} ms after its start${inStop}`,
    };
  });
  const exceeding = processes
    .filter(({ peakMemoryMb }) => peakMemoryMb > memoryLimitMb)
    .map(({ name, peakMemoryMb }) => ({
      promise: 'memory stays within its limit',
      detail: `${name}: ${Math.round(peakMemoryMb)} of ${memoryLimitMb} MB`,
    }));
  return [...ownEnds, ...exceeding];
}
