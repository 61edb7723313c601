/**
 * Definition of the parts of one run's response, which are joined by their byte offsets: which response is the rest of another, and
 * what shows that it is whole.
 */
import type { Dispatcher } from 'undici';

type Headers = Dispatcher.ResponseData['headers'];

/** Parts of one response. */
export interface ResponseParts {
  /** Begins a part at an offset. Returns false if it isn't the rest of the parts before. */
  begin(headers: Headers, offset: number): boolean;
  /** Returns whether the response is whole, after a part that has ended as its framing states. */
  isWhole(receivedBytes: number): boolean;
}

interface Part {
  offset: number;
  contentType: string | undefined;
  /** Length of the whole response, as this part states it. */
  totalBytes: number | undefined;
  /** The part ends with its connection. */
  isCloseDelimited: boolean;
}

function decodePart(headers: Headers, offset: number): Part {
  const length = headers['content-length'];
  const contentType = headers['content-type'];
  return {
    offset,
    contentType: contentType === undefined ? undefined : String(contentType),
    totalBytes: length === undefined ? undefined : offset + Number(length),
    isCloseDelimited: length === undefined && headers['transfer-encoding'] === undefined,
  };
}

/** Creates a response without parts. */
export function createResponseParts(): ResponseParts {
  let first: Part | undefined;
  let last: Part | undefined;
  let totalBytes: number | undefined;

  function isRest(part: Part): boolean {
    if (first === undefined) return true;
    const isSameLength = (part.totalBytes ?? totalBytes) === (totalBytes ?? part.totalBytes);
    return part.contentType === first.contentType && isSameLength;
  }

  return {
    begin(headers, offset) {
      const part = decodePart(headers, offset);
      if (!isRest(part)) return false;
      first ??= part;
      last = part;
      totalBytes ??= part.totalBytes;
      return true;
    },
    isWhole(receivedBytes) {
      // The framing of a single part shows its end; a response to HEAD states a length that it doesn't have.
      if (last === undefined || last === first) return true;
      // The end of a connection that carried nothing says nothing about the response.
      if (last.isCloseDelimited && receivedBytes === last.offset) return false;
      return totalBytes === undefined || receivedBytes === totalBytes;
    },
  };
}
