export * from './reducer.js';
