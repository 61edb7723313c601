/** Validation of callers' requests against the configuration in force: route, API key and limits. */
import type { IncomingMessage } from 'node:http';
import { isReadyToRoute, pickService, RefusalCode } from '@kingcupsill/core/direct';
import type {
  AccountSpec,
  DirectState,
  Refusal,
  RequestAttributes,
  Route,
} from '@kingcupsill/core/direct';
import { areHeadersValid, isRequestTarget } from '@kingcupsill/core/http-syntax';
import type { CallerHeaders } from '@kingcupsill/prepared-platform';

/** Attributes that are known before the body has been read. */
export type ReceivedAttributes = Omit<RequestAttributes, 'fingerprint'>;

/** Attributes of a valid request, or the refusal of an invalid one. */
export type ValidationResult =
  { ok: true; attributes: ReceivedAttributes } | { ok: false; refusal: Refusal };

/** Validates requests before they are dispatched to the reducer. */
export interface RequestValidator {
  validate(req: IncomingMessage, headers: CallerHeaders, arrivedMs: number): ValidationResult;
  /** Maximum size of a request body; 0 before a configuration is known. */
  maxBodyBytes(): number;
}

/** Retry-After before a configuration is known: it arrives within a second of the store's response. */
const RETRY_AFTER_MS = 1000;
/** Bytes added to each name and each value to account for separators. */
const HEADER_SEPARATOR_BYTES = 2;

function refuse(status: number, code: RefusalCode, retryAfterMs?: number): ValidationResult {
  return { ok: false, refusal: { status, code, ran: 'no', retryAfterMs } };
}

function headerSizeBytes(req: IncomingMessage): number {
  return req.rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES,
    req.url!.length,
  );
}

/** Returns whether the request can be passed on. Node's parser accepts targets and names that can't be sent. */
function isWellFormed({ url, rawHeaders, headers, httpVersion }: IncomingMessage): boolean {
  if (headers.host === undefined && httpVersion !== '1.0') return false;
  return url!.startsWith('/') && isRequestTarget(url!) && areHeadersValid(rawHeaders);
}

interface ValidRequest {
  route: Route;
  service: string;
  account: AccountSpec | undefined;
  headers: CallerHeaders;
  arrivedMs: number;
}

function buildAttributes({
  route,
  service,
  account,
  headers,
  arrivedMs,
}: ValidRequest): ReceivedAttributes {
  const resumeAfter = headers.lastEventId === '' ? undefined : headers.lastEventId;
  const remainingMs = Math.min(route.timeoutMs, headers.deadlineMs ?? route.timeoutMs);
  return {
    route,
    service,
    account: account?.name,
    accountRegions: account?.allowedRegions ?? [],
    expiresAtMs: arrivedMs + remainingMs,
    streamId: resumeAfter === undefined ? headers.attemptId : headers.resumedAttemptId,
    resumeAfter,
    promptParts: headers.promptParts,
    promptTokens: headers.promptTokens,
    maxOutputTokens: headers.maxOutputTokens,
  };
}

/** Creates a validator that reads the configuration from `state`. */
export function createRequestValidator(state: DirectState, random: () => number): RequestValidator {
  function validate(
    req: IncomingMessage,
    headers: CallerHeaders,
    arrivedMs: number,
  ): ValidationResult {
    const { routeTable } = state;
    if (routeTable === undefined || !isReadyToRoute(state)) {
      return refuse(503, RefusalCode.NoConfiguration, RETRY_AFTER_MS);
    }
    if (!isWellFormed(req)) return refuse(400, RefusalCode.Malformed);
    if (headerSizeBytes(req) > routeTable.config.limits.maxHeaderBytes) {
      return refuse(431, RefusalCode.HeaderTooLarge);
    }
    const route = routeTable.findRoute(headers.host, req.url!);
    if (route === undefined) return refuse(404, RefusalCode.UnknownRoute);
    const requiresKey = !route.public && routeTable.config.accounts !== undefined;
    const account = requiresKey ? routeTable.findAccount(headers.apiKey ?? '') : undefined;
    if (requiresKey && account === undefined) return refuse(401, RefusalCode.UnknownKey);
    const service = pickService(route, random());
    return service === undefined
      ? refuse(503, RefusalCode.NoServer, RETRY_AFTER_MS)
      : { ok: true, attributes: buildAttributes({ route, service, account, headers, arrivedMs }) };
  }

  return { validate, maxBodyBytes: () => state.routeTable?.config.limits.maxBodyBytes ?? 0 };
}
