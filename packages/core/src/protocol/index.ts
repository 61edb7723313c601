export * from './attempt-headers.js';
export * from './distance.js';
export * from './messages.js';
export * from './forwarded-headers.js';
