export { createAdminServer } from './create-admin-server.js';
export { dumpState } from './dump-state.js';
export type * from './types.js';
