/** Summary of a soak run: ends of processes, memory, and answers that were cut. */
import type { CutAnswer } from './find-process-breaches.js';
import { hasEndedByItself } from './router-process.js';
import type { SoakResult } from './run-soak.js';
import { EndRequest } from './types.js';
import type { Breach } from './types.js';

export const ExitCode = { Held: 0, Broken: 1, Usage: 2, NotJudged: 3 } as const;

/** Longest delay of the soak's own event loop in a run that is judged: half of the second that the checks allow for. */
const MAX_OWN_LAG_MS = 500;
/** Maximum number of breaches of a promise that are listed; the verdict counts all of them. */
const MAX_LISTED_BREACHES = 8;

/** Promises with a time bound, which a late event loop of the soak may seem to break. */
const TIMED_PROMISES = new Set([
  'requests end in time',
  'a leaving server gets no new work',
  'all is served after faults',
  'configurations are in force in seconds',
  'planned stops cut no answers',
  'answers are not cut',
]);

/** Returns the verdict; a run whose own event loop was late is broken only by promises without a time bound, and never held. */
export function judge({ breaches, ownLagMs }: Pick<SoakResult, 'breaches' | 'ownLagMs'>) {
  const held = breaches.length === 0;
  const text = held ? 'every promise held' : `${breaches.length} breaches`;
  const isCertain = breaches.some(({ promise }) => !TIMED_PROMISES.has(promise));
  if (isCertain || ownLagMs <= MAX_OWN_LAG_MS)
    return { text, exitCode: held ? ExitCode.Held : ExitCode.Broken };
  const lag = `own event loop ${Math.round(ownLagMs)} ms late`;
  return { text: `not judged, ${lag} (${text})`, exitCode: ExitCode.NotJudged };
}

function listBreaches(breaches: readonly Breach[]): string[] {
  return [...new Set(breaches.map(({ promise }) => promise))].flatMap((promise) =>
    breaches
      .filter((breach) => breach.promise === promise)
      .slice(0, MAX_LISTED_BREACHES)
      .map(({ detail }) => `broken: ${promise}: ${detail}`),
  );
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): string {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1));
  return [...counts].map(([key, count]) => `${count} ${key}`).join(', ') || 'none';
}

/** Returns the lines of the summary. */
export function formatReport({ processes, cutAnswers, breaches, ownLagMs }: SoakResult): string[] {
  const ownEnds = processes.filter(hasEndedByItself);
  const countRequests = (request: EndRequest) =>
    processes.filter(({ endRequest }) => endRequest === request).length;
  const peakMb = Math.max(...processes.map(({ peakMemoryMb }) => peakMemoryMb));
  const elsewhere = cutAnswers.filter(({ inStop, hasRun }) => !inStop && hasRun);
  const describe = ({ call, excuse }: CutAnswer) => `${call.kind} (${excuse ?? 'no excuse'})`;
  return [
    `processes: ${processes.length} started, ${countRequests(EndRequest.Stop)} stopped, ${countRequests(EndRequest.Kill)} killed`,
    `ended by themselves: ${countBy(ownEnds, ({ end }) => end!.signal ?? `exit code ${end!.code}`)}`,
    `memory: at most ${Math.round(peakMb)} MB; own event loop: at most ${Math.round(ownLagMs)} ms late`,
    `cut in planned stops: ${countBy(
      cutAnswers.filter(({ inStop }) => inStop),
      describe,
    )}`,
    `passed on and cut elsewhere: ${countBy(elsewhere, describe)}`,
    ...listBreaches(breaches),
    `broken: ${countBy(breaches, ({ promise }) => promise)}`,
  ];
}
