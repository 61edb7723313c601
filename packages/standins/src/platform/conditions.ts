/** Preconditions of writes in request headers. */
import type { IncomingHttpHeaders } from 'node:http';
import type { WriteCondition } from './types.js';

export type ConditionOutcome =
  { ok: true; condition: WriteCondition } | { ok: false; message: string };

/** Parses the `If-Match` and `If-None-Match` headers of a write. */
export const parseCondition = (headers: IncomingHttpHeaders): ConditionOutcome => {
  const ifMatch = headers['if-match'];
  const ifNoneMatch = headers['if-none-match'];
  if (ifMatch !== undefined && ifNoneMatch !== undefined) {
    return { ok: false, message: 'If-Match and If-None-Match are mutually exclusive' };
  }
  if (ifNoneMatch !== undefined) {
    return ifNoneMatch === '*'
      ? { ok: true, condition: { kind: 'absent' } }
      : { ok: false, message: 'If-None-Match must be *' };
  }
  if (ifMatch === undefined) return { ok: true, condition: { kind: 'none' } };
  const version = /^"(\d{1,15})"$/.exec(ifMatch)?.[1];
  return version === undefined
    ? { ok: false, message: 'If-Match must be a version in double quotes' }
    : { ok: true, condition: { kind: 'version', version: Number(version) } };
};
