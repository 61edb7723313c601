/** The operator of the soak: writes configurations and checks from outside that they come into force and stay. */
import { sampleDocument } from '../standins/deployment.js';
import type { StoreStandin } from '../standins/store-standin.js';
import type { Callers } from './callers.js';
import type { Router } from './routers.js';
import { RouteKind } from './types.js';
import type { Breach } from './types.js';

export interface Operator {
  /** Writes a new version with one more route. */
  change(): void;
  /** Asks each router once for each route; what one process has shown once it must show from then on. */
  look(): Promise<void>;
  /** All routers must show the newest version, some time after the last disturbance. */
  lookAtEnd(): Promise<void>;
  breaches: Breach[];
}

/** Below the deadline of callers, so that the router's own time-out is played too. */
const TIMEOUT_MS = 2500;

/** Creates the operator and writes the first configuration. */
export function createOperator(
  store: StoreStandin,
  routers: readonly Router[],
  callers: () => Callers,
): Operator {
  const breaches: Breach[] = [];
  const shown = new Map<string, number>();
  let version = 1;

  function write(): void {
    const { routes } = sampleDocument();
    const any = { ...routes.find(({ name }) => name === 'any')!, timeoutMs: TIMEOUT_MS };
    const talk = { ...any, name: 'talk', pathPrefix: '/talk/', type: 'streaming' };
    const added = Array.from({ length: version - 1 }, (_none, index) => ({
      ...any,
      name: `added-${index + 2}`,
      pathPrefix: `/added-${index + 2}/`,
    }));
    store.put('config', 'main', sampleDocument(version, { routes: [...routes, talk, ...added] }));
  }

  async function shows(router: Router, wanted: number): Promise<boolean | undefined> {
    const { status } = await callers().ask(router, `/added-${wanted}/x`, RouteKind.Any);
    return status === undefined ? undefined : status !== 404;
  }

  async function lookAt(router: Router): Promise<void> {
    const name = router.processName();
    const wanted = version;
    const seen = shown.get(name) ?? 1;
    if (seen > 1 && (await shows(router, seen)) === false && router.processName() === name) {
      breaches.push({ promise: 'configurations never revert', detail: `${name}, version ${seen}` });
    }
    if (wanted > 1 && (await shows(router, wanted)) === true) shown.set(name, wanted);
  }

  write();
  return {
    change() {
      version += 1;
      write();
    },
    async look() {
      await Promise.all(routers.map(lookAt));
    },
    async lookAtEnd() {
      if (version === 1) return;
      const late = await Promise.all(
        routers.map(async (router) =>
          (await shows(router, version)) === true ? [] : [router.name],
        ),
      );
      late.flat().forEach((name) => {
        breaches.push({ promise: 'configurations are in force in seconds', detail: name });
      });
    },
    breaches,
  };
}
