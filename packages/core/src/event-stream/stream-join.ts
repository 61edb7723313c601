/**
 * Definition of the join of the runs that make up one caller's stream: which response continues a stream, which event follows
 * another, and what proves that a stream has ended.
 */
import { isFieldValue } from '../http-syntax/index.js';
import type { EventBlock } from './event-block.js';

/** Why a run can't be passed on, as text for logs. */
export const StreamFault = {
  /** The response isn't one that can continue the stream. */
  NoContinuation: 'not a continuation',
  MalformedEvent: 'malformed event',
  /** The id can't be sent in a request, so the stream couldn't be continued behind it. */
  MalformedId: 'event id malformed',
  /** The first event of a continuation has no id, or the event before it has none. */
  WithoutId: 'event without id',
  NotIncreasing: 'event id not increasing',
  /** The ids increased by one each, and the continuation leaves some out. */
  EventsMissing: 'events missing',
  /** The continuation has no event. */
  EndNotProven: 'end of stream not proven',
} as const;
export type StreamFault = (typeof StreamFault)[keyof typeof StreamFault];

/** Head of a run's response. */
export interface RunHead {
  status: number;
  contentType: string | undefined;
}

/** Runs of one caller's stream. */
export interface StreamJoin {
  /** Begins a run. Returns why it can't continue the events delivered so far, if any. */
  beginRun(head: RunHead): StreamFault | undefined;
  /** Adds a block of the run, unless it is faulty. */
  accept(block: EventBlock): StreamFault | undefined;
  /** Ends the run as its framing states. A run without events doesn't show whether the events that were delivered are all. */
  endRun(): StreamFault | undefined;
}

/** Settings of a stream. */
export interface StreamJoinOptions {
  /** Another server may continue the stream. Otherwise a server's events are passed on with any ids. */
  isResumable: boolean;
  /** Id of the event after which the caller resumes the stream; undefined if it asks for the whole stream. */
  resumeAfter: string | undefined;
}

/** Limits of the ids that aren't numbers and that are recognized when they are repeated. */
const MAX_KNOWN_IDS = 1000;
const MAX_KNOWN_ID_CHARS = 100;
const CONTINUATION_STATUS = 200;
const STATUSES_WITHOUT_BODY = new Set([204, 205]);
const MEDIA_TYPE = 'text/event-stream';
/** The number of digits bounds the cost of their conversion. */
const WHOLE_NUMBER = /^\d{1,100}$/;

function toNumber(id: string): bigint | undefined {
  return WHOLE_NUMBER.test(id) ? BigInt(id) : undefined;
}

function mediaType(contentType: string | undefined): string | undefined {
  return contentType?.split(';')[0]!.trim().toLowerCase();
}

/** Returns whether a response on a route of streams is an event stream; one that states no content type is taken for one. */
export function isEventStream({ status, contentType }: RunHead): boolean {
  const type = mediaType(contentType);
  return !STATUSES_WITHOUT_BODY.has(status) && (type === undefined || type === MEDIA_TYPE);
}

/** Id of an event, and the number that it states, if any. */
interface EventId {
  text: string;
  value: bigint | undefined;
}

function parseEventId(text: string): EventId {
  return { text, value: toNumber(text) };
}

/** Ids of the events delivered so far. */
function createEventOrder(resumeAfter: string | undefined) {
  const knownIds = new Set<string>();
  let last = resumeAfter === undefined ? undefined : parseEventId(resumeAfter);
  /** The ids increased by one each; undefined before there are two. */
  let isConsecutive: boolean | undefined;
  if (resumeAfter !== undefined) knownIds.add(resumeAfter);

  function stepTo({ value }: EventId): bigint | undefined {
    return last?.value === undefined || value === undefined ? undefined : value - last.value;
  }

  function remember({ text, value }: EventId): void {
    const isKept = text.length <= MAX_KNOWN_ID_CHARS && knownIds.size < MAX_KNOWN_IDS;
    // A copy, since a substring would retain the text of all events that were received with it.
    if (isKept && value === undefined) knownIds.add(Buffer.from(text, 'latin1').toString('latin1'));
  }

  return {
    isConsecutive: () => isConsecutive,
    isNext: (id: EventId): boolean => stepTo(id) === 1n,
    isRepeated(id: EventId): boolean {
      const step = stepTo(id);
      return step === undefined ? id.text === last?.text || knownIds.has(id.text) : step <= 0n;
    },
    add(id: EventId): void {
      if (last !== undefined) isConsecutive = isConsecutive !== false && stepTo(id) === 1n;
      remember(id);
      last = id;
    },
  };
}

/** Creates the join of a stream of which nothing has been delivered. */
export function createStreamJoin({ isResumable, resumeAfter }: StreamJoinOptions): StreamJoin {
  const order = createEventOrder(resumeAfter);
  let deliveredHead: RunHead | undefined;
  let head: RunHead | undefined;
  let runEvents = 0;
  /** The last event has an id. */
  let endsWithId = false;
  /** The run left out ids at its beginning, when it wasn't known yet whether they increase by one each. */
  let hasGap = false;

  const isContinuation = (): boolean =>
    runEvents === 0 && (resumeAfter !== undefined || deliveredHead !== undefined);

  function leavesOut(id: EventId): boolean {
    if (isContinuation()) return order.isConsecutive() === true && !order.isNext(id);
    return hasGap && runEvents === 1 && order.isNext(id);
  }

  function findFault(id: EventId | undefined): StreamFault | undefined {
    if (id === undefined) return isContinuation() ? StreamFault.WithoutId : undefined;
    if (id.value === undefined && !isFieldValue(id.text)) return StreamFault.MalformedId;
    if (order.isRepeated(id)) return StreamFault.NotIncreasing;
    return leavesOut(id) ? StreamFault.EventsMissing : undefined;
  }

  /** Adds an event of a stream that may be continued, unless its id is faulty. */
  function acceptId(text: string | undefined): StreamFault | undefined {
    const id = text === undefined ? undefined : parseEventId(text);
    const fault = findFault(id);
    if (fault !== undefined || id === undefined) return fault;
    if (isContinuation()) hasGap = order.isConsecutive() === undefined && !order.isNext(id);
    order.add(id);
    return undefined;
  }

  return {
    beginRun(runHead) {
      head = runHead;
      runEvents = 0;
      hasGap = false;
      if (deliveredHead === undefined) return undefined;
      const isSameType = mediaType(head.contentType) === mediaType(deliveredHead.contentType);
      if (head.status !== CONTINUATION_STATUS || !isSameType) return StreamFault.NoContinuation;
      return endsWithId ? undefined : StreamFault.WithoutId;
    },
    accept({ isEvent, isWellFormed, id }) {
      if (!isWellFormed) return StreamFault.MalformedEvent;
      if (!isEvent) return undefined;
      // Ids matter only for what continues the stream.
      const fault = isResumable ? acceptId(id) : undefined;
      if (fault !== undefined) return fault;
      endsWithId = id !== undefined;
      deliveredHead ??= head;
      runEvents += 1;
      return undefined;
    },
    endRun: () =>
      runEvents > 0 || deliveredHead === undefined ? undefined : StreamFault.EndNotProven,
  };
}
