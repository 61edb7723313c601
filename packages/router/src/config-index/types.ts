/** What the router looks up in the configuration for each request. */
import type { ClientAccount, Service } from '@kingcupsill/core';

/** A client account with its id. */
export interface AccountRecord {
  id: string;
  account: ClientAccount;
}

/** A service with its id. */
export interface ServiceRecord {
  id: string;
  service: Service;
}

/** Index of one configuration version. */
export interface ConfigIndex {
  version: number;
  /** The account that owns an API key, or null. */
  findAccountByKey(apiKey: string): AccountRecord | null;
  findService(id: string): ServiceRecord | null;
  /** Services of a kind that the account may reach. */
  listServices(account: ClientAccount, kind: Service['kind']): ServiceRecord[];
}
