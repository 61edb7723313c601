/**
 * Shapes of messages for the encoding, derived from their schemas: the key list of each object, and conversions between a
 * message and the form in which it is packed.
 */
import { linkMessageSchema } from '@kingcupsill/core';
import type { z } from 'zod';

/** Converts a value on its way to or from the packed form. */
type Convert = (value: unknown) => unknown;

/** How one schema's values are packed. */
interface Shape {
  /** Brings keys into the schema's order and packs members without a schema. */
  toWire: Convert;
  /** Reverses `toWire` where it isn't undone by unpacking. */
  fromWire: Convert;
}

/** Packs and unpacks values that have no schema. */
export interface OpaqueCodec {
  pack: (value: unknown) => Uint8Array;
  unpack: (bytes: Uint8Array) => unknown;
}

/** Shapes of all messages. */
export interface MessageShapes {
  /** Key lists of all objects, without repeats, in a fixed order. */
  structures: string[][];
  toWire: Convert;
  fromWire: Convert;
}

type AnyDef = z.core.$ZodTypeDef & {
  innerType?: z.core.$ZodType;
  element?: z.core.$ZodType;
  shape?: Record<string, z.core.$ZodType>;
};

type Members = Record<string, unknown>;

const IDENTITY: Shape = { toWire: (value) => value, fromWire: (value) => value };

function isMembers(value: unknown): value is Members {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function convertArray(convert: Convert): Convert {
  return (value) => (Array.isArray(value) ? value.map(convert) : value);
}

/** A record has all keys of its list; absent members come as undefined ones and are left out. */
function dropAbsent(members: Members): Members {
  return Object.fromEntries(Object.entries(members).filter(([, value]) => value !== undefined));
}

function convertMembers(entries: [string, Convert][]): Convert {
  return (value) => {
    if (!isMembers(value)) return value;
    const converted: Members = {};
    for (const [key, convert] of entries) converted[key] = convert(value[key]);
    return converted;
  };
}

function objectFromWire(shapes: [string, Shape][], hasOptional: boolean): Convert {
  const converts = shapes.some(([, shape]) => shape.fromWire !== IDENTITY.fromWire);
  const convert = converts
    ? convertMembers(shapes.map(([key, shape]) => [key, shape.fromWire]))
    : IDENTITY.fromWire;
  if (!hasOptional) return convert;
  return (value) => (isMembers(value) ? dropAbsent(convert(value) as Members) : value);
}

function isOptional(schema: z.core.$ZodType): boolean {
  return schema._zod.def.type === 'optional';
}

function opaqueShape(codec: OpaqueCodec): Shape {
  return {
    toWire: codec.pack,
    fromWire: (value) => (value instanceof Uint8Array ? codec.unpack(value) : value),
  };
}

/** Derives the shapes of all messages. The structures depend on the schemas alone. */
export function createMessageShapes(codec: OpaqueCodec): MessageShapes {
  const structures = new Map<string, string[]>();
  const opaque = opaqueShape(codec);

  function objectShape(members: Record<string, z.core.$ZodType>): Shape {
    const keys = Object.keys(members);
    structures.set(keys.join(), keys);
    const shapes = keys.map((key): [string, Shape] => [key, shapeOf(members[key]!)]);
    return {
      toWire: convertMembers(shapes.map(([key, shape]) => [key, shape.toWire])),
      fromWire: objectFromWire(shapes, Object.values(members).some(isOptional)),
    };
  }

  function arrayShape(element: Shape): Shape {
    const plain = element.fromWire === IDENTITY.fromWire;
    return {
      toWire: convertArray(element.toWire),
      fromWire: plain ? IDENTITY.fromWire : convertArray(element.fromWire),
    };
  }

  function shapeOf(schema: z.core.$ZodType): Shape {
    const def = schema._zod.def as AnyDef;
    if (def.shape !== undefined) return objectShape(def.shape);
    if (def.element !== undefined) return arrayShape(shapeOf(def.element));
    if (def.innerType !== undefined) return shapeOf(def.innerType);
    return def.type === 'unknown' ? opaque : IDENTITY;
  }

  const shapes = new Map(
    linkMessageSchema.options.map((option) => [option.shape.kind.value as string, shapeOf(option)]),
  );
  const shapeFor = (message: unknown) =>
    (isMembers(message) ? shapes.get(message.kind as string) : undefined) ?? IDENTITY;

  return {
    structures: [...structures.values()],
    toWire: (message) => shapeFor(message).toWire(message),
    fromWire: (message) => shapeFor(message).fromWire(message),
  };
}
