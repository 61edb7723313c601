/** Types of the configuration index, which the router uses for each request. */
import type { ClientAccount, Service } from '@kingcupsill/core';

/** Client account and its id. */
export interface AccountRecord {
  id: string;
  account: ClientAccount;
}

/** Service and its id. */
export interface ServiceRecord {
  id: string;
  service: Service;
}

/** Index of one configuration version. */
export interface ConfigIndex {
  /** Version of the configuration, 0 if the router has none yet. */
  version: number;
  /** Returns the client account that owns an API key, or null. */
  findAccountByKey(apiKey: string): AccountRecord | null;
  /** Returns the service with an id, or null. */
  findService(id: string): ServiceRecord | null;
  /** Returns the services of a kind that the client account may use. */
  listServices(account: ClientAccount, kind: Service['kind']): ServiceRecord[];
}
