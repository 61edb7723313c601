export * from './blocked-traits.js';
export * from './crash-evidence.js';
export * from './crash-news.js';
export * from './crash-suspects.js';
export * from './crash-traits.js';
export * from './served-traits.js';
