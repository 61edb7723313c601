/** Defaults of link options. */
import { performance } from 'node:perf_hooks';
import type { LinkOptions } from '../types.js';

const DEFAULTS = {
  allowPlainTcp: false,
  maxMessageBytes: 4 * 1024 * 1024,
  maxBufferedBytes: 16 * 1024 * 1024,
  heartbeatIntervalMs: 2000,
  heartbeatTimeoutMs: 6000,
  handshakeTimeoutMs: 5000,
  clock: () => performance.now(),
};

/** Link options with all defaults applied. */
export type ResolvedOptions<TOptions extends LinkOptions = LinkOptions> = TOptions &
  Required<Pick<LinkOptions, keyof typeof DEFAULTS>>;

/** Applies the defaults to options that are absent or undefined. */
export function resolveOptions<TOptions extends LinkOptions>(
  options: TOptions,
): ResolvedOptions<TOptions> {
  const definedOptions = Object.entries(options).filter(([, value]) => value !== undefined);
  return {
    ...DEFAULTS,
    ...Object.fromEntries(definedOptions),
  } as unknown as ResolvedOptions<TOptions>;
}
