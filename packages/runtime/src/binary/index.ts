export { exitOnUncaughtError } from './exit-on-uncaught-error.js';
export { readPackageVersion } from './read-package-version.js';
export { runBinary } from './run-binary.js';
export { shutDownOnSignals } from './shut-down-on-signals.js';
export { ExitCode } from './types.js';
export type { BinaryContext, BinaryOptions, RunningProcess } from './types.js';
