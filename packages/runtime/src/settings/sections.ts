/** Settings sections common to several binaries. */
import { accessSync, constants } from 'node:fs';
import { BlockList, isIP } from 'node:net';
import { z } from 'zod';
import { LogLevel } from '../logs/types.js';

/** Minimum length of a fleet key, in characters. */
const MIN_FLEET_KEY_CHARS = 16;

const TLS_KEYS = ['tls_key_file', 'tls_cert_file', 'tls_ca_file'] as const;

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

/** Returns whether the host is `localhost` or an IP address of the loopback interface. */
export function isLoopbackHost(host: string): boolean {
  if (host === 'localhost') return true;
  const family = isIP(host);
  return family !== 0 && loopback.check(host, family === 6 ? 'ipv6' : 'ipv4');
}

const host = z.string().min(1).default('127.0.0.1').describe('address to listen on');
const port = z
  .number()
  .int()
  .min(0)
  .max(65535)
  .default(0)
  .describe('port to listen on; 0 selects a free port');

/** `[process]`: identity and location of this process. */
export const processSection = z.strictObject({
  id: z.string().min(1).describe('instance id, stable across restarts'),
  zone: z.string().min(1).describe('availability zone of the instance'),
  region: z.string().min(1).describe('region of the availability zone'),
  log_level: z.enum(LogLevel).default(LogLevel.Info).describe('minimum level of logged lines'),
});

/** `[admin]`: listener for metrics, health and the state dump. */
export const adminSection = z
  .strictObject({
    host,
    port,
    token: z
      .string()
      .min(1)
      .optional()
      .describe('bearer token for all requests; required unless host is loopback'),
  })
  .superRefine((section, ctx) => {
    if (isLoopbackHost(section.host) || section.token !== undefined) return;
    ctx.addIssue({
      code: 'custom',
      path: ['token'],
      message: `required because host ${section.host} isn't loopback`,
    });
  });

const linkSecurityFields = {
  fleet_key: z
    .string()
    .min(MIN_FLEET_KEY_CHARS)
    .describe('key shared by all processes of the fleet'),
  fleet_key_previous: z
    .string()
    .min(MIN_FLEET_KEY_CHARS)
    .optional()
    .describe('previous key, accepted during a key rotation'),
  allow_plain_tcp: z
    .boolean()
    .default(false)
    .describe('permits links without TLS to other machines'),
  tls_key_file: z.string().min(1).optional().describe('PEM file with the private key for TLS'),
  tls_cert_file: z.string().min(1).optional().describe('PEM file with the certificate for TLS'),
  tls_ca_file: z
    .string()
    .min(1)
    .optional()
    .describe("PEM file with the CA certificate that signs the fleet's certificates"),
};

type TlsFiles = Partial<Record<(typeof TLS_KEYS)[number], string>>;

function isReadable(file: string): boolean {
  try {
    // eslint-disable-next-line n/no-sync -- checked once, before the process starts
    accessSync(file, constants.R_OK);
    return true;
  } catch {
    return false;
  }
}

function checkTlsFiles(section: TlsFiles, ctx: z.core.$RefinementCtx): void {
  if (TLS_KEYS.every((key) => section[key] === undefined)) return;
  for (const key of TLS_KEYS) {
    const file = section[key];
    const message =
      file === undefined ? 'required if another TLS file is set' : `can't read ${file}`;
    if (file === undefined || !isReadable(file)) {
      ctx.addIssue({ code: 'custom', path: [key], message });
    }
  }
}

/** `[link]` of a process that dials links but doesn't listen. */
export const linkDialerSection = z.strictObject(linkSecurityFields).superRefine(checkTlsFiles);

/** `[link]` of a process that also listens for links. */
export const linkSection = z
  .strictObject({ host, port, ...linkSecurityFields })
  .superRefine((section, ctx) => {
    checkTlsFiles(section, ctx);
    const isTransportAllowed = section.tls_key_file !== undefined || section.allow_plain_tcp;
    if (isLoopbackHost(section.host) || isTransportAllowed) return;
    ctx.addIssue({
      code: 'custom',
      path: ['host'],
      message: `${section.host} isn't loopback: set the TLS files or allow_plain_tcp`,
    });
  });

/** `[platform]`: access to the object service and instance list. */
export const platformSection = z.strictObject({
  url: z.url({ protocol: /^https?$/ }).describe("base URL of the platform's object service"),
});
