/** News about requests that crash servers, which routers exchange in their reports. */
import type { BlockedTraits } from './blocked-traits.js';

/** What routers tell each other about requests that crash servers. */
export interface CrashNews {
  /** Traits of requests whose attempts broke when a server crashed. */
  crashes: [serverKey: string, traits: string[]][];
  /** Suspected traits of answered requests. */
  served: string[];
  blocked: BlockedTraits[];
}

/** Returns news without content. */
export function createCrashNews(): CrashNews {
  return { crashes: [], served: [], blocked: [] };
}

/** Returns whether news have any content. */
export function hasCrashNews({ crashes, served, blocked }: CrashNews): boolean {
  return crashes.length + served.length + blocked.length > 0;
}

/** Maximum number of entries of each kind in one report. */
const MAX_NEWS = 256;

/** Adds later news to earlier ones; beyond the maximum, the oldest are dropped. */
export function mergeCrashNews(earlier: CrashNews, later: CrashNews): CrashNews {
  return {
    crashes: [...earlier.crashes, ...later.crashes].slice(-MAX_NEWS),
    served: [...new Set([...earlier.served, ...later.served])].slice(-MAX_NEWS),
    blocked: [...earlier.blocked, ...later.blocked].slice(-MAX_NEWS),
  };
}
