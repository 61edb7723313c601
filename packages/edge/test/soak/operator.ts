/** Operator of the soak test: writes configurations and verifies through requests that they take effect and are never reverted. */
import { sampleDocument } from '../standins/deployment.js';
import type { StoreStandin } from '../standins/store-standin.js';
import type { Callers } from './callers.js';
import type { Router } from './routers.js';
import { RouteKind } from './types.js';
import type { Breach } from './types.js';

export interface Operator {
  /** Writes a new version with one additional route. */
  changeConfiguration(): void;
  /** Requests added routes from each router; a process that has served a version must not fall back to an older one. */
  checkConfigurations(): Promise<void>;
  /** Verifies that all routers serve the newest version; call it after the routers had time to recover. */
  checkFinalConfiguration(): Promise<void>;
  breaches: Breach[];
}

/** Below the deadline of callers, so that the router's own timeout is exercised too. */
const ROUTE_TIMEOUT_MS = 2500;

/** Creates the operator and writes the first configuration. */
export function createOperator(
  store: StoreStandin,
  routers: readonly Router[],
  callers: () => Callers,
): Operator {
  const breaches: Breach[] = [];
  const servedVersions = new Map<string, number>();
  let version = 1;

  function writeConfiguration(): void {
    const { routes } = sampleDocument();
    const safeRoute = {
      ...routes.find(({ name }) => name === 'any')!,
      timeoutMs: ROUTE_TIMEOUT_MS,
    };
    const nonResumableRoute = {
      ...safeRoute,
      name: 'talk',
      pathPrefix: '/talk/',
      type: 'streaming',
    };
    const addedRoutes = Array.from({ length: version - 1 }, (_none, index) => ({
      ...safeRoute,
      name: `added-${index + 2}`,
      pathPrefix: `/added-${index + 2}/`,
    }));
    store.put(
      'config',
      'main',
      sampleDocument(version, { routes: [...routes, nonResumableRoute, ...addedRoutes] }),
    );
  }

  async function servesVersion(
    router: Router,
    expectedVersion: number,
  ): Promise<boolean | undefined> {
    const { status } = await callers().send(router, `/added-${expectedVersion}/x`, RouteKind.Safe);
    return status === undefined ? undefined : status !== 404;
  }

  async function checkRouter(router: Router): Promise<void> {
    const processName = router.processName();
    const newestVersion = version;
    const servedVersion = servedVersions.get(processName) ?? 1;
    if (
      servedVersion > 1 &&
      (await servesVersion(router, servedVersion)) === false &&
      router.processName() === processName
    ) {
      breaches.push({
        promise: 'configurations never revert',
        detail: `${processName}, version ${servedVersion}`,
      });
    }
    if (newestVersion > 1 && (await servesVersion(router, newestVersion)) === true)
      servedVersions.set(processName, newestVersion);
  }

  writeConfiguration();
  return {
    changeConfiguration() {
      version += 1;
      writeConfiguration();
    },
    async checkConfigurations() {
      await Promise.all(routers.map(checkRouter));
    },
    async checkFinalConfiguration() {
      if (version === 1) return;
      const outdatedRouters = await Promise.all(
        routers.map(async (router) =>
          (await servesVersion(router, version)) === true ? [] : [router.name],
        ),
      );
      outdatedRouters.flat().forEach((name) => {
        breaches.push({ promise: 'configurations are in force in seconds', detail: name });
      });
    },
    breaches,
  };
}
