/** Access to plain objects by names from outside, which may be those of inherited properties. */

/** Returns the object's own property of this name; undefined for inherited ones. */
export function getOwn<TValue>(
  object: Readonly<Record<string, TValue>>,
  name: string,
): TValue | undefined {
  // eslint-disable-next-line kingcupsill/no-inherited-properties -- an own property
  return Object.hasOwn(object, name) ? object[name] : undefined;
}

/** Sets the object's own property of this name; `__proto__` is a name like any other. */
export function setOwn<TValue>(
  object: Record<string, TValue>,
  name: string,
  value: NoInfer<TValue>,
): void {
  Object.defineProperty(object, name, {
    value,
    writable: true,
    enumerable: true,
    configurable: true,
  });
}
