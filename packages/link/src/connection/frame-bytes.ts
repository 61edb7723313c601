/** Size of WebSocket frames on the wire, as defined in RFC 6455, section 5.2. */

const MASK_BYTES = 4;
const SMALL_PAYLOAD_BYTES = 125;
const MEDIUM_PAYLOAD_BYTES = 65_535;

/** Returns the size of an unfragmented frame in bytes, header included. Only frames from the dialing side are masked. */
export function frameBytes(payloadBytes: number, masked: boolean): number {
  const mask = masked ? MASK_BYTES : 0;
  if (payloadBytes <= SMALL_PAYLOAD_BYTES) return 2 + mask + payloadBytes;
  if (payloadBytes <= MEDIUM_PAYLOAD_BYTES) return 4 + mask + payloadBytes;
  return 10 + mask + payloadBytes;
}
