export { closeServer, listenOn } from './listen.js';
export type { ListenAddress } from './listen.js';
