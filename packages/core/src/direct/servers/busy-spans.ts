/** Spans in which an engine was busy throughout, from the starts of its answers. They show its throughput whatever the requests waited for. */

/** Start of an answer. */
export interface PlacedStart {
  sentAtMs: number;
  begunAtMs: number;
  /** Prompt tokens that all routers had sent to the engine up to and including the request. */
  position: number;
}

/** Prompt tokens processed in a span. */
export interface BusySpan {
  tokens: number;
  ms: number;
}

/** Spans of one engine. */
export interface BusySpans {
  /** Records a start. Returns the span that it completes, if any. */
  record(start: PlacedStart): BusySpan | undefined;
}

/** Spans are several times as long as the times of starts, as they are known, vary; a span that is full begins a new one. */
const MIN_SPAN_MS = 200;
const FULL_SPAN_MS = 500;

/** Returns whether the report of a start has come after that of a later one. */
function isOvertaken(start: PlacedStart, last: PlacedStart): boolean {
  return start.begunAtMs <= last.begunAtMs || start.position <= last.position;
}

/** Creates the spans of an engine that has answered nothing. */
export function createBusySpans(): BusySpans {
  let first: PlacedStart | undefined;
  let last: PlacedStart | undefined;

  function measure(): BusySpan {
    if (first === undefined || last === undefined) return { tokens: 0, ms: 0 };
    return { tokens: last.position - first.position, ms: last.begunAtMs - first.begunAtMs };
  }

  return {
    record(start) {
      const previous = last;
      if (previous !== undefined && isOvertaken(start, previous)) return undefined;
      // An engine processes prompts in order, so it is busy between two starts if the later request came before the first of them.
      const wasBusy = previous !== undefined && start.sentAtMs <= previous.begunAtMs;
      if (wasBusy) last = start;
      const span = measure();
      if (wasBusy && span.ms < FULL_SPAN_MS) return undefined;
      first = start;
      last = start;
      return span.ms < MIN_SPAN_MS ? undefined : span;
    },
  };
}
