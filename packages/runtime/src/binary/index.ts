export { readPackageVersion } from './read-package-version.js';
export { runBinary } from './run-binary.js';
export { ExitCode } from './types.js';
export type { BinaryContext, BinaryOptions, RunningProcess } from './types.js';
