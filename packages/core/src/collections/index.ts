export { groupBy } from './group-by.js';
export { evictLeastRecentlyUsed, markRecentlyUsed } from './recency.js';
