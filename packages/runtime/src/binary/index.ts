export { exitOnBrokenInvariant } from './broken-invariant.js';
export { readPackageVersion } from './read-package-version.js';
export { runBinary } from './run-binary.js';
export { shutDownOnSignals } from './shut-down.js';
export { ExitCode } from './types.js';
export type { BinaryContext, BinaryOptions, RunningProcess } from './types.js';
