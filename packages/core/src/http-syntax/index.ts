/** Syntax of HTTP messages and addresses. */
export * from './http-syntax.js';
