/** Traits by which requests that crash servers are recognized. */
import type { RequestAttributes } from '../types.js';

/** Separates the kind of a trait from its value. Ids of prompt parts contain no colon, so the two kinds can't be confused. */
const REQUEST_PREFIX = 'request:';

/** Attributes from which the traits follow. */
export type TraitSource = Pick<RequestAttributes, 'fingerprint' | 'promptParts'>;

/** Returns all traits that a request may share with others: the request as a whole and each part of its prompt. */
export function listCrashTraits({ fingerprint, promptParts }: TraitSource): string[] {
  return [`${REQUEST_PREFIX}${fingerprint}`, ...promptParts.map(({ id }) => id)];
}
