/** Summary of a soak run: ends of processes, memory, and answers that were cut. */
import type { CutAnswer } from './find-cut-answers.js';
import { hasEndedByItself } from './router-process.js';
import type { SoakResult } from './run-soak.js';
import { EndRequest } from './types.js';

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
    `broken: ${countBy(breaches, ({ promise }) => promise)}`,
  ];
}
