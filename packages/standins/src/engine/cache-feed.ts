/** Delayed and lossy feed of prefix cache events. */
import type { Random } from '../common/random.js';
import type { CacheChange } from './prefix-cache.js';

/** A cache change with its sequence number. */
export interface CacheEvent extends CacheChange {
  seq: number;
}

/** Publishes cache changes after a delay; lost events leave gaps in the sequence numbers. */
export interface CacheFeed {
  publish(change: CacheChange, nowMs: number): void;
  /** Returns the visible events with a sequence number greater than `seq`. */
  after(seq: number, nowMs: number): { next: number; events: CacheEvent[] };
}

export interface CacheFeedOptions {
  lagMs: number;
  /** Probability that an event is lost, 0 to 1. */
  lossProbability: number;
  random: Random;
}

const MIN_RETAINED_EVENTS = 10_000;

/** Creates an empty feed that retains at least the latest 10000 events. */
export const createCacheFeed = ({
  lagMs,
  lossProbability,
  random,
}: CacheFeedOptions): CacheFeed => {
  let events: { event: CacheEvent; visibleAtMs: number }[] = [];
  let lastSeq = 0;

  return {
    publish: (change, nowMs) => {
      lastSeq += 1;
      if (random() < lossProbability) return;
      events.push({ event: { ...change, seq: lastSeq }, visibleAtMs: nowMs + lagMs });
      if (events.length > MIN_RETAINED_EVENTS * 2) events = events.slice(-MIN_RETAINED_EVENTS);
    },
    after: (seq, nowMs) => {
      const visible = events
        .filter(({ event, visibleAtMs }) => event.seq > seq && visibleAtMs <= nowMs)
        .map(({ event }) => event);
      return { next: visible.at(-1)?.seq ?? seq, events: visible };
    },
  };
};
