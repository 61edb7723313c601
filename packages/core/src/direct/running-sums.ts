/** Sums of running requests by server over the sources of reports. */

/** Running requests by server of one source. */
export type RunningByServer = Map<string, number>;

/** Sums over several sources. */
export interface RunningSums {
  /** Replaces what a source has reported about a server. */
  set(source: RunningByServer, serverKey: string, running: number): void;
  get(serverKey: string): number;
  /** Keys of the servers with running requests. */
  serverKeys(): string[];
}

function setOrDelete(map: Map<string, number>, key: string, value: number): void {
  if (value === 0) map.delete(key);
  else map.set(key, value);
}

/** Creates sums without sources. */
export function createRunningSums(): RunningSums {
  const sums = new Map<string, number>();
  const get = (serverKey: string): number => sums.get(serverKey) ?? 0;
  return {
    set(source, serverKey, running) {
      const others = get(serverKey) - (source.get(serverKey) ?? 0);
      setOrDelete(sums, serverKey, others + running);
      setOrDelete(source, serverKey, running);
    },
    get,
    serverKeys: () => [...sums.keys()],
  };
}
