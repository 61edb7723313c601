/** Encoding of messages: msgpackr records, whose key lists both sides exchange once in the handshake. */
import { messageSchema } from '@kingcupsill/core';
import type { LinkMessage } from '@kingcupsill/core';
import { Packr } from 'msgpackr';
import { createMessageShapes } from './message-shapes.js';

/** Messages of one frame, or what is wrong with it. */
export type DecodeResult = { ok: true; messages: LinkMessage[] } | { ok: false; detail: string };

/** Codec of one link. A link has its own, so that a peer can't change the key lists of others. */
export interface Codec {
  encode(message: LinkMessage): Buffer;
  /** Decodes and checks all messages of a frame. */
  decode(frame: Buffer): DecodeResult;
}

// Values without a schema are packed by themselves, with their keys, as their key sets vary.
const opaquePackr = new Packr({ useRecords: false });

const shapes = createMessageShapes({
  pack: (value) => opaquePackr.pack(value),
  unpack: (bytes) => opaquePackr.unpack(bytes) as unknown,
});

/** Key lists with which this process encodes. */
export const localStructures: readonly string[][] = shapes.structures;

function createPackr(structures: readonly string[][]): Packr {
  return new Packr({
    structures: structures.map((keys) => [...keys]),
    maxSharedStructures: structures.length,
  });
}

function decodeFrame(packr: Packr, frame: Buffer): DecodeResult {
  const messages: LinkMessage[] = [];
  for (const value of packr.unpackMultiple(frame) as unknown[]) {
    const checked = messageSchema.safeParse(shapes.fromWire(value));
    if (!checked.success) return { ok: false, detail: checked.error.issues[0]!.message };
    messages.push(checked.data);
  }
  return { ok: true, messages };
}

/** Creates the codec of a link to a peer that encodes with the given key lists. */
export function createCodec(peerStructures: readonly string[][]): Codec {
  const encoder = createPackr(localStructures);
  const decoder = createPackr(peerStructures);
  return {
    encode: (message) => Buffer.from(encoder.pack(shapes.toWire(message))),
    decode: (frame) => {
      try {
        return decodeFrame(decoder, frame);
      } catch (err) {
        return { ok: false, detail: (err as Error).message };
      }
    },
  };
}
