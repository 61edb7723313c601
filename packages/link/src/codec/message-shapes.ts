/**
 * Wire shapes of messages, derived from the message schemas: the key list of each object type, and conversions between messages
 * and their packed form.
 */
import { getOwn } from '@kingcupsill/core/collections';
import { linkMessageSchema } from '@kingcupsill/core';
import type { z } from 'zod';

/** Converts a value to or from its packed form. */
type Converter = (value: unknown) => unknown;

/** Conversions between the values of one schema and their packed form. */
interface Shape {
  /** Puts keys in schema order and packs properties of unknown type. */
  toWire: Converter;
  /** Reverts the parts of `toWire` that unpacking the record doesn't. */
  fromWire: Converter;
}

/** Packs and unpacks values of unknown type. */
export interface OpaqueCodec {
  pack: (value: unknown) => Uint8Array;
  unpack: (bytes: Uint8Array) => unknown;
}

/** Wire shapes of all messages. */
export interface MessageShapes {
  /** Distinct key lists of all object types, in a deterministic order. */
  structures: string[][];
  toWire: Converter;
  fromWire: Converter;
}

type SchemaDefinition = z.core.$ZodTypeDef & {
  innerType?: z.core.$ZodType;
  element?: z.core.$ZodType;
  shape?: Record<string, z.core.$ZodType>;
};

type PlainObject = Record<string, unknown>;

const IDENTITY: Shape = { toWire: (value) => value, fromWire: (value) => value };

function isPlainObject(value: unknown): value is PlainObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function convertArray(convert: Converter): Converter {
  return (value) => (Array.isArray(value) ? value.map(convert) : value);
}

/** Removes undefined properties: a record contains all keys of its structure, with undefined for absent ones. */
function omitUndefined(object: PlainObject): PlainObject {
  return Object.fromEntries(Object.entries(object).filter(([, value]) => value !== undefined));
}

function convertObject(converters: [string, Converter][]): Converter {
  return (value) => {
    if (!isPlainObject(value)) return value;
    const converted: PlainObject = {};
    // eslint-disable-next-line kingcupsill/no-inherited-properties -- keys of the message schemas
    for (const [key, convert] of converters) converted[key] = convert(value[key]);
    return converted;
  };
}

function createObjectDecoder(shapes: [string, Shape][], hasOptional: boolean): Converter {
  const needsConversion = shapes.some(([, shape]) => shape.fromWire !== IDENTITY.fromWire);
  const convert = needsConversion
    ? convertObject(shapes.map(([key, shape]) => [key, shape.fromWire]))
    : IDENTITY.fromWire;
  if (!hasOptional) return convert;
  return (value) => (isPlainObject(value) ? omitUndefined(convert(value) as PlainObject) : value);
}

function isOptional(schema: z.core.$ZodType): boolean {
  return schema._zod.def.type === 'optional';
}

function createOpaqueShape(codec: OpaqueCodec): Shape {
  return {
    toWire: codec.pack,
    fromWire: (value) => (value instanceof Uint8Array ? codec.unpack(value) : value),
  };
}

/** Derives the wire shapes of all messages. The structures depend only on the schemas. */
export function createMessageShapes(codec: OpaqueCodec): MessageShapes {
  const structures = new Map<string, string[]>();
  const opaque = createOpaqueShape(codec);

  function createObjectShape(properties: Record<string, z.core.$ZodType>): Shape {
    const keys = Object.keys(properties);
    structures.set(keys.join(), keys);
    const shapes = keys.map((key): [string, Shape] => [key, createShape(getOwn(properties, key)!)]);
    return {
      toWire: convertObject(shapes.map(([key, shape]) => [key, shape.toWire])),
      fromWire: createObjectDecoder(shapes, Object.values(properties).some(isOptional)),
    };
  }

  function createArrayShape(element: Shape): Shape {
    const isIdentity = element.fromWire === IDENTITY.fromWire;
    return {
      toWire: convertArray(element.toWire),
      fromWire: isIdentity ? IDENTITY.fromWire : convertArray(element.fromWire),
    };
  }

  function createShape(schema: z.core.$ZodType): Shape {
    const def = schema._zod.def as SchemaDefinition;
    if (def.shape !== undefined) return createObjectShape(def.shape);
    if (def.element !== undefined) return createArrayShape(createShape(def.element));
    if (def.innerType !== undefined) return createShape(def.innerType);
    return def.type === 'unknown' ? opaque : IDENTITY;
  }

  const shapesByKind = new Map(
    linkMessageSchema.options.map((option) => [
      option.shape.kind.value as string,
      createShape(option),
    ]),
  );
  const findShape = (message: unknown) =>
    (isPlainObject(message) ? shapesByKind.get(message.kind as string) : undefined) ?? IDENTITY;

  return {
    structures: [...structures.values()],
    toWire: (message) => findShape(message).toWire(message),
    fromWire: (message) => findShape(message).fromWire(message),
  };
}
