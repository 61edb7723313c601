/**
 * Trailers with fields that frame a body. They don't (RFC 9110, 6.5.1), so the response stays as its head has framed it; some
 * versions of Node's parser refuse them.
 */
import type { IncomingMessage } from 'node:http';
import { getBodyFraming } from './close-delimited.js';
import { BodyFraming } from './types.js';

const FRAMING_FIELDS = new Set(['content-length', 'transfer-encoding']);
/** Errors of Node's parser about such fields. Behind a chunked head they can only be in the trailers. */
const FRAMING_FIELD_ERRORS = new Set([
  'HPE_INVALID_CONTENT_LENGTH',
  'HPE_UNEXPECTED_CONTENT_LENGTH',
  'HPE_INVALID_TRANSFER_ENCODING',
]);

const endedAtTrailers = new WeakSet<IncomingMessage>();

/** Ends a response of which the parser has refused a framing field in the trailers: its last chunk has arrived. Returns whether it did. */
export function endAtFramingTrailer(res: IncomingMessage, errorCode: string | undefined): boolean {
  if (res.complete || getBodyFraming(res) !== BodyFraming.Chunked) return false;
  if (!FRAMING_FIELD_ERRORS.has(errorCode ?? '')) return false;
  endedAtTrailers.add(res);
  res.complete = true;
  res.push(null);
  return true;
}

/** Returns whether the trailers of a complete response have contained a framing field. */
export function hasFramingTrailer(res: IncomingMessage): boolean {
  const isFramingName = (text: string, index: number): boolean =>
    index % 2 === 0 && FRAMING_FIELDS.has(text.toLowerCase());
  return endedAtTrailers.has(res) || res.rawTrailers.some(isFramingName);
}
