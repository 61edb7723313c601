/** Operator of the soak test: writes configurations and verifies through requests that they take effect and are never reverted. */
import { RefusalCode } from '@kingcupsill/core/direct';
import { sampleDocument } from '../standins/deployment.js';
import type { StoreStandin } from '../standins/store-standin.js';
import { formatApiKey } from './callers.js';
import type { Callers } from './callers.js';
import type { Router } from './routers.js';
import { RouteKind } from './types.js';
import type { Breach } from './types.js';
import { MAX_BODY_BYTES, SAFE_TIMEOUT_MS, Service, TIMEOUT_MS } from './workload.js';

export interface Operator {
  /** Writes a new version with one additional route, beside many unused routes if `large`. */
  changeConfiguration(large?: boolean): void;
  /** Requests added routes from each router; a process that has served a version must not fall back to an older one. */
  checkConfigurations(): Promise<void>;
  /** Verifies that all routers serve the newest version; call it after the routers had time to recover. */
  checkFinalConfiguration(): Promise<void>;
  breaches: Breach[];
}

/** With these, the document has about 880 kB; the platform accepts values up to 1 MiB. */
const UNUSED_ROUTES = Array.from({ length: 4600 }, (_none, index) => ({
  ...sampleDocument().routes[1]!,
  name: `unused-${index}`,
  pathPrefix: `/unused-${index}/`,
}));

/** Refusals before the route is looked up. */
const UNJUDGED_CODES = [
  RefusalCode.NoConfiguration,
  RefusalCode.ShuttingDown,
  RefusalCode.RouterConnectionsFull,
];

/** Creates the operator and writes the first configuration. */
export function createOperator(
  store: StoreStandin,
  routers: readonly Router[],
  callers: () => Callers,
  accounts: number,
): Operator {
  const breaches: Breach[] = [];
  const servedVersions = new Map<string, number>();
  let version = 1;

  function writeConfiguration(large: boolean): void {
    const sample = sampleDocument();
    const routes = sample.routes.map((route) => ({
      ...route,
      service: route.type === 'streaming' ? Service.Streams : Service.Plain,
      timeoutMs: route.name === RouteKind.Safe ? SAFE_TIMEOUT_MS : TIMEOUT_MS,
    }));
    const safeRoute = routes.find(({ name }) => name === 'any')!;
    const addedRoutes = Array.from({ length: version - 1 }, (_none, index) => ({
      ...safeRoute,
      name: `added-${index + 2}`,
      pathPrefix: `/added-${index + 2}/`,
    }));
    const document = sampleDocument(version, {
      routes: [...routes, ...addedRoutes, ...(large ? UNUSED_ROUTES : [])],
      services: Object.values(Service).map((name) => ({ name, maxConns: 370 })),
      limits: { ...sample.limits, maxBodyBytes: 2 * MAX_BODY_BYTES },
      tenants: Array.from({ length: accounts }, (_none, index) => ({
        name: `t${index + 1}`,
        apiKeys: [formatApiKey(index)],
      })),
    });
    store.put('config', 'main', document);
  }

  async function servesVersion(
    router: Router,
    expectedVersion: number,
  ): Promise<boolean | undefined> {
    const { status, body } = await callers().send(router, `/added-${expectedVersion}/x`);
    const isUnjudged = status === 503 && UNJUDGED_CODES.some((code) => body.includes(`"${code}"`));
    return status === undefined || isUnjudged ? undefined : status !== 404;
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

  writeConfiguration(false);
  return {
    changeConfiguration(large = false) {
      version += 1;
      writeConfiguration(large);
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
