/** Operations on client accounts. */
import { getOwn } from '@kingcupsill/core/collections';
import type { ClientAccount, FleetConfig } from '@kingcupsill/core';
import { digestKey } from '@kingcupsill/platform';

import { ExitCode, fail } from '../outcome.js';
import type { CommandOutcome } from '../outcome.js';
import { changeConfig } from './change.js';
import type { PlannedChange } from './change.js';
import type { ChangeOptions, FleetContext } from './types.js';

/** Fields of a client account that an operator sets. */
export interface AccountFields {
  share?: number;
  services?: string[];
  maxQueued?: number;
}

type AccountOptions = ChangeOptions & { account: string };

const planFailure = (code: string, message: string): PlannedChange => ({
  ok: false,
  outcome: fail(ExitCode.Failure, code, message),
});

const planForExistingAccount = (
  config: FleetConfig,
  id: string,
  plan: (account: ClientAccount) => PlannedChange,
): PlannedChange => {
  const account = getOwn(config.accounts, id);
  return account === undefined
    ? planFailure('not_found', `account "${id}" does not exist`)
    : plan(account);
};

const formatNewKey = (account: string, key: string) => ({
  data: { account, key },
  lines: [`key: ${key}`, 'the key is shown only once and not stored'],
});

/** Adds a client account with a new key, which is printed once. */
export const addAccount = (
  ctx: FleetContext,
  options: AccountOptions & { fields: AccountFields & { share: number; services: string[] } },
): Promise<CommandOutcome> =>
  changeConfig(ctx, options, (config) => {
    const { account: id, fields } = options;
    if (Object.hasOwn(config.accounts, id))
      return planFailure('exists', `account "${id}" already exists`);
    const key = ctx.createAccountKey();
    const account: ClientAccount = { ...fields, keyHashes: [digestKey(key)] };
    return { ok: true, patch: { accounts: { [id]: account } }, ...formatNewKey(id, key) };
  });

/** Changes fields of a client account. */
export const setAccount = async (
  ctx: FleetContext,
  options: AccountOptions & { fields: AccountFields },
): Promise<CommandOutcome> => {
  const { account, fields } = options;
  if (Object.values(fields).every((value) => value === undefined)) {
    return fail(ExitCode.Usage, 'nothing_to_set', 'specify at least one field to change');
  }
  return changeConfig(ctx, options, (config) =>
    planForExistingAccount(config, account, () => ({
      ok: true,
      patch: { accounts: { [account]: fields } },
    })),
  );
};

/** Removes a client account. */
export const removeAccount = (
  ctx: FleetContext,
  options: AccountOptions,
): Promise<CommandOutcome> =>
  changeConfig(ctx, options, (config) =>
    planForExistingAccount(config, options.account, () => ({
      ok: true,
      patch: { accounts: { [options.account]: null } },
    })),
  );

/** Replaces the keys of a client account with a new one; with `keepOld`, the old ones stay valid until the next rotation. */
export const rotateAccountKey = (
  ctx: FleetContext,
  options: AccountOptions & { keepOld: boolean },
): Promise<CommandOutcome> =>
  changeConfig(ctx, options, (config) =>
    planForExistingAccount(config, options.account, (account) => {
      const key = ctx.createAccountKey();
      const retainedKeyHashes = options.keepOld ? account.keyHashes : [];
      const keyHashes = [...retainedKeyHashes, digestKey(key)];
      const patch = { accounts: { [options.account]: { keyHashes } } };
      return { ok: true, patch, ...formatNewKey(options.account, key) };
    }),
  );
