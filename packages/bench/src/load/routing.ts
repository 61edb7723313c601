/** Distributes requests unevenly: each account has its own order of routers and favours the first. */

/** Offset between the first routers of consecutive accounts. */
const ACCOUNT_STRIDE = 7;

/** Returns the router's index for a position (0 to below 1) in an account's order of routers. */
export function chooseRouter(
  accountIndex: number,
  routerPosition: number,
  routerCount: number,
): number {
  const offset = Math.floor(routerPosition * routerCount);
  return (accountIndex * ACCOUNT_STRIDE + offset) % routerCount;
}
