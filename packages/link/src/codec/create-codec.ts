/** Message encoding: msgpackr records, whose structures (key lists) are exchanged once, in the handshake. */
import { linkMessageSchema } from '@kingcupsill/core';
import type { LinkMessage } from '@kingcupsill/core';
import { Packr } from 'msgpackr';
import { createMessageShapes } from './message-shapes.js';

/** Messages of one frame, or the decoding error. */
export type DecodeResult = { ok: true; messages: LinkMessage[] } | { ok: false; detail: string };

/** Codec of one link. Each link has its own, so that a peer can't change the record structures of other links. */
export interface Codec {
  encode(message: LinkMessage): Buffer;
  /** Decodes a frame and validates all its messages. Never throws. */
  decode(frame: Buffer): DecodeResult;
}

// Values of unknown type are packed separately, keys included, because their key sets vary.
const opaquePackr = new Packr({ useRecords: false });

const shapes = createMessageShapes({
  pack: (value) => opaquePackr.pack(value),
  unpack: (bytes) => opaquePackr.unpack(bytes) as unknown,
});

/** Record structures that this process encodes with. */
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
    const parsed = linkMessageSchema.safeParse(shapes.fromWire(value));
    if (!parsed.success) return { ok: false, detail: parsed.error.issues[0]!.message };
    messages.push(parsed.data);
  }
  return { ok: true, messages };
}

/** Creates the codec for a peer that encodes with the given record structures. */
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
