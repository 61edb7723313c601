export * from './doubling.js';
