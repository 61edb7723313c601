/** HTTP routes of the object service. */
import type Router from '@koa/router';
import type { Context } from 'koa';
import { parseQueryInteger } from '../common/admin-routes.js';
import { readBody } from '../common/body.js';
import { closeSignal } from '../common/close-signal.js';
import { sha256 } from '../common/digest.js';
import { FaultRole } from '../common/types.js';
import type { FaultTable } from '../common/types.js';
import type { Journal } from '../common/journal.js';
import { destroyConnection, sendError } from '../common/koa-server.js';
import { parseCondition } from './conditions.js';
import { injectOutage } from './call-middleware.js';
import type { ObjectStore, WriteOutcome } from './object-store.js';
import { PlatformFaultKind } from './types.js';
import type { WriteCondition, WriteEntry } from './types.js';
import type { Watchers } from './watchers.js';

export interface ObjectRoutesOptions {
  router: Router;
  store: ObjectStore;
  watchers: Watchers;
  faults: FaultTable<PlatformFaultKind>;
  journal: Journal<WriteEntry>;
}

const MAX_BODY_BYTES = 1_048_576;
const DEFAULT_WATCH_TIMEOUT_MS = 30_000;
const MAX_WATCH_TIMEOUT_MS = 300_000;
const OBJECT_PATH = /^\/v1\/objects\/(.+)$/;

const formatEtag = (version: number): string => `"${version}"`;

const parseKey = (ctx: Context): string | undefined => {
  try {
    return decodeURIComponent(OBJECT_PATH.exec(ctx.path)?.[1] ?? '');
  } catch {
    return undefined;
  }
};

const parsePrefix = (ctx: Context): string =>
  typeof ctx.query.prefix === 'string' ? ctx.query.prefix : '';

const sendWriteError = (ctx: Context, outcome: Exclude<WriteOutcome, { ok: true }>): void => {
  if (outcome.code === 'not-found') {
    sendError(ctx, 404, 'not_found');
    return;
  }
  if (outcome.currentVersion !== undefined) ctx.set('ETag', formatEtag(outcome.currentVersion));
  sendError(ctx, 412, 'version_conflict');
};

/** Registers the routes of the object service. */
export const addObjectRoutes = (options: ObjectRoutesOptions): void => {
  const { router, store, watchers, faults, journal } = options;

  const respondToWrite = (
    ctx: Context,
    entry: Omit<WriteEntry, 'version' | 'atMs' | 'answerLost'>,
    outcome: WriteOutcome,
  ) => {
    if (!outcome.ok) {
      sendWriteError(ctx, outcome);
      return;
    }
    const { version } = outcome;
    const isAnswerLost =
      faults.trigger(PlatformFaultKind.LoseAnswers, FaultRole.Writes) !== undefined;
    journal.add({ ...entry, version, atMs: Date.now(), answerLost: isAnswerLost });
    watchers.notify();
    if (isAnswerLost) {
      destroyConnection(ctx);
      return;
    }
    ctx.set('ETag', formatEtag(version));
    ctx.status = outcome.created ? 201 : 200;
    if (entry.kind === 'delete') ctx.status = 204;
    else ctx.body = '';
  };

  /** Parses the key and condition of a write. Responds with status 400 and returns undefined if they are malformed. */
  const parseWrite = (ctx: Context): { key: string; condition: WriteCondition } | undefined => {
    const key = parseKey(ctx);
    const parsed = parseCondition(ctx.headers);
    if (key !== undefined && parsed.ok) return { key, condition: parsed.condition };
    sendError(ctx, 400, 'bad_request', parsed.ok ? 'key has invalid encoding' : parsed.message);
    return undefined;
  };
  const shouldRecordChange = () => faults.trigger(PlatformFaultKind.MissedWatch) === undefined;

  router.get('/v1/objects', (ctx) => {
    ctx.body = { version: store.version(), objects: store.list(parsePrefix(ctx)) };
  });

  router.get(OBJECT_PATH, (ctx) => {
    const key = parseKey(ctx);
    const object = key === undefined ? undefined : store.get(key);
    if (object === undefined) {
      sendError(ctx, 404, 'not_found');
      return;
    }
    ctx.set('ETag', formatEtag(object.version));
    ctx.type = 'application/octet-stream';
    ctx.body = object.body;
  });

  router.put(OBJECT_PATH, async (ctx) => {
    const bodyResult = await readBody(ctx.req, MAX_BODY_BYTES);
    if (!bodyResult.ok) {
      sendError(ctx, bodyResult.code === 'too-large' ? 413 : 400, bodyResult.code);
      return;
    }
    const write = parseWrite(ctx);
    if (write === undefined) return;
    const { key, condition } = write;
    const outcome = store.put(key, bodyResult.body, condition, shouldRecordChange());
    respondToWrite(ctx, { kind: 'put', key, condition, digest: sha256(bodyResult.body) }, outcome);
  });

  router.delete(OBJECT_PATH, (ctx) => {
    const write = parseWrite(ctx);
    if (write === undefined) return;
    const { key, condition } = write;
    const outcome = store.remove(key, condition, shouldRecordChange());
    respondToWrite(ctx, { kind: 'delete', key, condition, digest: '' }, outcome);
  });

  router.get('/v1/watch', async (ctx) => {
    const prefix = parsePrefix(ctx);
    const after = parseQueryInteger(ctx, 'after', store.version());
    const timeoutMs = parseQueryInteger(ctx, 'timeoutMs', DEFAULT_WATCH_TIMEOUT_MS);
    const changes = await watchers.wait(
      () => store.changes(prefix, after),
      Math.min(timeoutMs, MAX_WATCH_TIMEOUT_MS),
      closeSignal(ctx),
    );
    if (injectOutage(ctx, faults, FaultRole.Reads)) return;
    if (changes.ok) ctx.body = { version: changes.version, events: changes.events };
    else sendError(ctx, 410, 'too_old', `version ${after} is outside the retained history`);
  });
};
