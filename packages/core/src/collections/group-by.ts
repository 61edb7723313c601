/** Groups items by a key, in the order in which their keys first occur. */
export function groupBy<TItem, TKey>(
  items: Iterable<TItem>,
  keyOf: (item: TItem) => TKey,
): Map<TKey, TItem[]> {
  const groups = new Map<TKey, TItem[]>();
  [...items].forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  });
  return groups;
}
