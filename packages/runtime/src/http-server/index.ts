export { closeServer, listenOn } from './listen.js';
export type { ListenOptions } from './listen.js';
