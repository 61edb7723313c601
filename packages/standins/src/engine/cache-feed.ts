/** Late and lossy publication of cache events. */
import type { Random } from '../common/random.js';
import type { CacheChange } from './prefix-cache.js';

/** A cache event as published. */
export interface CacheEvent extends CacheChange {
  seq: number;
}

/** Publishes cache changes late and with gaps in their numbers. */
export interface CacheFeed {
  publish(change: CacheChange, nowMs: number): void;
  /** Events with a number greater than `seq` that are visible by now. */
  after(seq: number, nowMs: number): { next: number; events: CacheEvent[] };
}

export interface CacheFeedOptions {
  lagMs: number;
  /** Chance that an event is lost, 0 to 1. */
  loss: number;
  random: Random;
}

const KEPT_EVENTS = 10_000;

/** Creates an empty feed; it keeps the latest 10000 events. */
export const createCacheFeed = ({ lagMs, loss, random }: CacheFeedOptions): CacheFeed => {
  let events: { event: CacheEvent; visibleAtMs: number }[] = [];
  let lastSeq = 0;

  return {
    publish: (change, nowMs) => {
      lastSeq += 1;
      if (random() < loss) return;
      events.push({ event: { ...change, seq: lastSeq }, visibleAtMs: nowMs + lagMs });
      if (events.length > KEPT_EVENTS * 2) events = events.slice(-KEPT_EVENTS);
    },
    after: (seq, nowMs) => {
      const visible = events
        .filter(({ event, visibleAtMs }) => event.seq > seq && visibleAtMs <= nowMs)
        .map(({ event }) => event);
      return { next: visible.at(-1)?.seq ?? seq, events: visible };
    },
  };
};
