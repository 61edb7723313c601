/** What a process says of itself, and the link options that follow from its settings. */
import { randomInt } from 'node:crypto';

import { PROTOCOL_VERSION } from '@kingcupsill/core';
import type { HelloMessage, ProcessDescriptor, Role } from '@kingcupsill/core';
import type { LinkTls } from '@kingcupsill/link';
import type { Logger } from '@kingcupsill/runtime';

const MAX_SEED = 2 ** 31;

/** The `[process]` section. */
export interface ProcessIdentity {
  id: string;
  zone: string;
  region: string;
}

/** Who this run of the process is. */
export function processSelf(identity: ProcessIdentity, incarnation: string): ProcessDescriptor {
  const { id, zone, region } = identity;
  return { id, zone, region, incarnation, seed: randomInt(MAX_SEED) };
}

/** The part of a hello that all processes have. */
export function baseHello(
  self: ProcessDescriptor,
  role: Role,
  configVersion: number,
): HelloMessage {
  const { id, zone, region, incarnation } = self;
  return {
    kind: 'hello',
    protocol: PROTOCOL_VERSION,
    role,
    id,
    incarnation,
    zone,
    region,
    configVersion,
  };
}

/** The parts of `[link]` that dialers and listeners share. */
export interface LinkSecurity {
  fleetKey: string;
  fleetKeyPrevious?: string;
  allowPlainTcp: boolean;
}

/** Link options from settings. */
export function linkOptions(
  link: LinkSecurity,
  tls: LinkTls | undefined,
  frame: { logger: Logger; clock: () => number },
) {
  const { fleetKey, fleetKeyPrevious, allowPlainTcp } = link;
  const { logger, clock } = frame;
  return { fleetKey, fleetKeyPrevious, allowPlainTcp, tls, logger, clock };
}
