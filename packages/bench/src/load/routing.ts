/** Spreads accounts unevenly over routers: each has its own order of them and prefers the first. */

/** Steps between the first routers of neighbouring accounts. */
const ACCOUNT_STRIDE = 7;

/** Index of the router for a request, from its account's index and its place in the account's order. */
export function chooseRouter(accountIndex: number, spread: number, routerCount: number): number {
  const place = Math.floor(spread * routerCount);
  return (accountIndex * ACCOUNT_STRIDE + place) % routerCount;
}
