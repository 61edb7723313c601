export * from './charts.js';
export * from './describe.js';
export * from './page.js';
