/**
 * Syntax of what HTTP messages and connections are made of (RFC 9110, RFC 3986). Decoders of bytes from outside share these
 * definitions; Node's HTTP functions throw for anything else.
 */
import { z } from 'zod';

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
const REQUEST_TARGET = /^[\x21-\x7e\x80-\xff]+$/;
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;
const MIN_STATUS = 100;
const MAX_STATUS = 599;
const MAX_PORT = 65_535;

const ipAddress = z.ipv4();

/** IP address and port to which a connection can be opened. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Returns whether the text is a token, such as the name of a header. */
export function isToken(text: string): boolean {
  return TOKEN.test(text);
}

/** Returns whether the text, whose characters stand for bytes, can be the value of a header. */
export function isFieldValue(text: string): boolean {
  return FIELD_VALUE.test(text);
}

/** Returns whether the text can be the target of a request. */
export function isRequestTarget(text: string): boolean {
  return REQUEST_TARGET.test(text);
}

/** Returns whether the number can be the status of a response. */
export function isStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}

/** Returns whether all names and values of a list of alternating names and values can be those of headers. */
export function areHeadersValid(rawHeaders: readonly string[]): boolean {
  return rawHeaders.every((text, index) => (index % 2 === 0 ? isToken(text) : isFieldValue(text)));
}

/** Returns whether the text contains the beginning of a response's status line. */
export function containsStatusLine(text: string): boolean {
  return STATUS_LINE.test(text);
}

/** Encodes a text for a header, as UTF-8 with one character per byte. */
export function encodeFieldValue(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/** Parses `host:port` with an IPv4 address; undefined if no connection can be opened to it. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const colon = text.lastIndexOf(':');
  const [host, digits] = [text.slice(0, colon), text.slice(colon + 1)];
  if (colon < 0 || !/^\d{1,5}$/.test(digits)) return undefined;
  const port = Number(digits);
  if (port === 0 || port > MAX_PORT || !ipAddress.safeParse(host).success) return undefined;
  return { host, port };
}
