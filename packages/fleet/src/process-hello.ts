/** Identity of a process on its links, and link options derived from settings. */
import { randomInt } from 'node:crypto';

import { PROTOCOL_VERSION } from '@kingcupsill/core';
import type { HelloMessage, ProcessDescriptor, Role } from '@kingcupsill/core';
import type { LinkTls } from '@kingcupsill/link';
import type { Logger } from '@kingcupsill/runtime';

const SEED_RANGE = 2 ** 31;

/** Values of the `[process]` settings section. */
export interface ProcessIdentity {
  id: string;
  zone: string;
  region: string;
}

/** Creates the identity of this process run, with a new random seed. */
export function createProcessDescriptor(
  identity: ProcessIdentity,
  incarnation: string,
): ProcessDescriptor {
  const { id, zone, region } = identity;
  return { id, zone, region, incarnation, seed: randomInt(SEED_RANGE) };
}

/** Creates a hello message with the fields common to all roles. */
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

/** Settings of the `[link]` section used by both dialers and servers. */
export interface LinkSecuritySettings {
  fleetKey: string;
  fleetKeyPrevious?: string;
  allowPlainTcp: boolean;
}

/** Creates the options common to link dialers and servers. */
export function linkOptions(
  settings: LinkSecuritySettings,
  tls: LinkTls | undefined,
  context: { logger: Logger; clock: () => number },
) {
  const { fleetKey, fleetKeyPrevious, allowPlainTcp } = settings;
  const { logger, clock } = context;
  return { fleetKey, fleetKeyPrevious, allowPlainTcp, tls, logger, clock };
}
