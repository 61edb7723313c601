export { groupBy } from './group-by.js';
export { getOwn, setOwn } from './own-properties.js';
export { evictLeastRecentlyUsed, markRecentlyUsed } from './recency.js';
