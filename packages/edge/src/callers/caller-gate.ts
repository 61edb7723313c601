/** Checks a caller's request against the configuration in force: route, key and limits. */
import type { IncomingMessage } from 'node:http';
import { pickService, RefusalCode } from '@kingcupsill/core/direct';
import type {
  AccountSpec,
  DirectState,
  Refusal,
  RequestAttributes,
  Route,
} from '@kingcupsill/core/direct';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';

/** Outcome of the checks. */
export type GateOutcome = { ok: true; facts: RequestAttributes } | { ok: false; refusal: Refusal };

/** Checks requests. */
export interface CallerGate {
  check(req: IncomingMessage, headers: CallerHeaders, arrivedMs: number): GateOutcome;
  /** Largest body that is taken. */
  maxBodyBytes(): number;
}

/** Retry-After before a configuration is known: it comes within a second of the store's answer. */
const NO_CONFIGURATION_RETRY_MS = 1000;
/** Bytes of a header besides its name and value. */
const HEADER_FRAME_BYTES = 2;

function refused(status: number, code: RefusalCode, retryAfterMs?: number): GateOutcome {
  return { ok: false, refusal: { status, code, ran: 'no', retryAfterMs } };
}

function headerBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_FRAME_BYTES,
    req.url!.length,
  );
}

interface Passed {
  route: Route;
  service: string;
  account: AccountSpec | undefined;
  headers: CallerHeaders;
  arrivedMs: number;
}

function factsOf({ route, service, account, headers, arrivedMs }: Passed): RequestAttributes {
  const patienceMs = Math.min(route.timeoutMs, headers.deadlineMs ?? route.timeoutMs);
  return {
    route,
    service,
    account: account?.name,
    expiresAtMs: arrivedMs + patienceMs,
    promptParts: headers.parts,
    promptTokens: headers.promptTokens,
    maxOutputTokens: headers.outputTokens,
  };
}

/** Creates the checks. */
export function createCallerGate(state: DirectState, random: () => number): CallerGate {
  function check(req: IncomingMessage, headers: CallerHeaders, arrivedMs: number): GateOutcome {
    const { routeTable } = state;
    if (routeTable === undefined || !state.hasServerList) {
      return refused(503, RefusalCode.NoConfiguration, NO_CONFIGURATION_RETRY_MS);
    }
    if (!req.url!.startsWith('/')) return refused(400, RefusalCode.Malformed);
    if (headerBytes(req) > routeTable.config.limits.maxHeaderBytes) {
      return refused(431, RefusalCode.HeaderTooLarge);
    }
    const route = routeTable.findRoute(headers.host, req.url!);
    if (route === undefined) return refused(404, RefusalCode.UnknownRoute);
    const keyed = !route.public && routeTable.config.accounts !== undefined;
    const account = keyed ? routeTable.findAccount(headers.apiKey ?? '') : undefined;
    if (keyed && account === undefined) return refused(401, RefusalCode.UnknownKey);
    const service = pickService(route, random());
    return service === undefined
      ? refused(503, RefusalCode.NoServer, NO_CONFIGURATION_RETRY_MS)
      : { ok: true, facts: factsOf({ route, service, account, headers, arrivedMs }) };
  }

  return { check, maxBodyBytes: () => state.routeTable?.config.limits.maxBodyBytes ?? 0 };
}
