export * from './demo.js';
