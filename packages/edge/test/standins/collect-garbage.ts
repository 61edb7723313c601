/** Explicit garbage collection, for tests of what is kept. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

export function createGarbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
