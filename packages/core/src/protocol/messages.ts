/**
 * Messages on links between the fleet's processes. Each has a `kind`; times are milliseconds; service is slot time in
 * milliseconds. A sidecar's peer is a router; a router's peers are sidecars and routers.
 */
import { z } from 'zod';

/** Version of this protocol; peers with another one are refused. */
export const PROTOCOL_VERSION = 1;

/** Role of a process on a link. */
export const Role = {
  Router: 'router',
  Sidecar: 'sidecar',
} as const;
export type Role = (typeof Role)[keyof typeof Role];

const id = z.string().min(1).max(200);
const finite = z.number();
const count = z.number().int().nonnegative();

/** First message in both directions: who the peer is. */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  protocol: z.number().int(),
  role: z.enum(['router', 'sidecar']),
  /** Instance id, stable over restarts. */
  id,
  /** Random id of this run of the process. */
  incarnation: id,
  zone: id,
  region: id,
  configVersion: count,
  /** Sidecars only: base URL of the attempts interface, backend server and pool. */
  dataUrl: z.string().optional(),
  backend: z.string().optional(),
  pool: z.string().optional(),
  /** Routers only: `host:port` of the link listener. */
  address: z.string().optional(),
});

/** One client account that waits at a router. */
export const demandEntrySchema = z.object({
  account: id,
  /** Start tag of the account at the router. */
  virtualTimeMs: finite,
  /** Requests waiting; 0 removes the account. */
  waiting: count,
  /** Expected slot time of the head request. */
  estimateMs: finite,
  share: z.number().positive(),
});

/** Router to sidecar: who waits at the router for this sidecar's pool. */
export const demandSchema = z.object({
  kind: z.literal('demand'),
  /** True when the entries are the whole demand, false when they change it. */
  full: z.boolean(),
  /** Pool's virtual time as the router knows it. */
  poolVirtualTimeMs: finite,
  entries: z.array(demandEntrySchema),
});

/** Sidecar to router: a slot for the named account. */
export const grantSchema = z.object({
  kind: z.literal('grant'),
  grant: count,
  account: id,
  /** The grant lapses this long after it was sent. */
  ttlMs: count,
  poolVirtualTimeMs: finite,
});

/** Router to sidecar: the grant is not used. */
export const declineSchema = z.object({
  kind: z.literal('decline'),
  grant: count,
});

/** Sidecar to router: how many requests the router may send unasked; replaces the former number. */
export const creditsSchema = z.object({
  kind: z.literal('credits'),
  credits: count,
  poolVirtualTimeMs: finite,
});

/** Sidecar to router: settles an attempt whose router has gone. */
export const settleSchema = z.object({
  kind: z.literal('settle'),
  attempt: id,
  pool: id,
  account: id,
  chargeMs: finite,
  refundMs: finite,
});

/** Either to its peers: whether it takes no new work from now on. */
export const leavingSchema = z.object({
  kind: z.literal('leaving'),
  leaving: z.boolean(),
});

/** Router to its peers: routers it knows. */
export const routersSchema = z.object({
  kind: z.literal('routers'),
  routers: z.array(z.object({ id, address: z.string(), zone: id, region: id })),
});

/** Number that stands for a (pool, account) or a pool from this sender to this receiver; sent until acknowledged. */
export const exchangeKeySchema = z.object({
  key: count,
  pool: id,
  /** Empty for the pool's virtual time. */
  account: z.string().max(200),
  /** Run of the home router that counted the totals; empty for the sender's. */
  writer: z.string().max(250),
});

/**
 * Grow-only number in whole milliseconds: positive, the number itself; 0, as the sender last sent it; negative, `-1 - n` for its
 * lowest 15 bits `n`, next at or above what the sender last sent.
 */
const growing = z.number().int();

/** Totals of one (pool, account). */
export const accountTotalSchema = z.object({
  key: count,
  chargedMs: growing,
  refundedMs: growing,
  /** Whether requests of the account wait. */
  waiting: z.boolean(),
});

/** Lift of an account's virtual time, as long as it is not acknowledged. */
export const accountLiftSchema = z.object({
  key: count,
  /** Grows with each change of the account's share; within an epoch the largest lift wins. */
  epoch: count,
  liftMs: finite,
  /** Share of the epoch. */
  share: z.number().positive(),
});

/** Virtual time of one pool; merges by maximum. */
export const poolTimeSchema = z.object({ key: count, virtualTimeMs: growing });

/** Fields that the three messages of the exchange share. All are present: absent ones would take more bytes. */
const exchangeFields = {
  /** Hash of the sender's incarnation; 0 once the receiver has acknowledged it. */
  run: count,
  /** Hash of the receiver's incarnation as the sender knows it; 0 if it does not, and once acknowledged. */
  to: count,
  /** Hash of both incarnations in place of `run` and `to`; 0 as long as these are sent. */
  session: count,
  /** Number of this message on its way from sender to receiver, to be acknowledged; 0 when nothing needs it. */
  seq: count,
  /** Numbers received since the sender's last message. */
  acks: z.array(count),
  keys: z.array(exchangeKeySchema),
  totals: z.array(accountTotalSchema),
  lifts: z.array(accountLiftSchema),
  pools: z.array(poolTimeSchema),
};

/**
 * Router to the home router of accounts in its zone: what this run of the router counted towards the run `to` of the home, and
 * whether it waits. Grow-only.
 */
export const totalsReportSchema = z.object({ kind: z.literal('totals-report'), ...exchangeFields });

/** Home router to the other homes of the same accounts: what the routers of its zone counted towards its run. */
export const zoneTotalsSchema = z.object({ kind: z.literal('zone-totals'), ...exchangeFields });

/**
 * Home router to a router of its zone: the fleet's totals without what the receiver itself counted towards the sender's run.
 */
export const spreadTotalsSchema = z.object({ kind: z.literal('spread-totals'), ...exchangeFields });

/** The configuration version in force at the sender. */
export const configVersionSchema = z.object({
  kind: z.literal('config-version'),
  version: count,
});

/** One accepted patch: a JSON merge patch that leads from `version - 1` to `version`. */
export const configPatchSchema = z.object({
  kind: z.literal('config-patch'),
  version: count,
  patch: z.unknown(),
});

/** The whole configuration, to a peer that is behind by more than the patches at hand. */
export const configFullSchema = z.object({
  kind: z.literal('config-full'),
  config: z.unknown(),
});

/** Asks the peer for everything after `version`. */
export const configRequestSchema = z.object({
  kind: z.literal('config-request'),
  version: count,
});

/** Any message on a link. */
export const linkMessageSchema = z.discriminatedUnion('kind', [
  helloSchema,
  demandSchema,
  grantSchema,
  declineSchema,
  creditsSchema,
  settleSchema,
  leavingSchema,
  routersSchema,
  totalsReportSchema,
  zoneTotalsSchema,
  spreadTotalsSchema,
  configVersionSchema,
  configPatchSchema,
  configFullSchema,
  configRequestSchema,
]);

export type HelloMessage = z.infer<typeof helloSchema>;
export type DemandEntry = z.infer<typeof demandEntrySchema>;
export type DemandMessage = z.infer<typeof demandSchema>;
export type GrantMessage = z.infer<typeof grantSchema>;
export type DeclineMessage = z.infer<typeof declineSchema>;
export type CreditsMessage = z.infer<typeof creditsSchema>;
export type SettleMessage = z.infer<typeof settleSchema>;
export type LeavingMessage = z.infer<typeof leavingSchema>;
export type RoutersMessage = z.infer<typeof routersSchema>;
export type AccountTotal = z.infer<typeof accountTotalSchema>;
export type AccountLift = z.infer<typeof accountLiftSchema>;
export type ExchangeKey = z.infer<typeof exchangeKeySchema>;
export type PoolTime = z.infer<typeof poolTimeSchema>;
export type TotalsReportMessage = z.infer<typeof totalsReportSchema>;
export type ZoneTotalsMessage = z.infer<typeof zoneTotalsSchema>;
export type SpreadTotalsMessage = z.infer<typeof spreadTotalsSchema>;
export type ConfigVersionMessage = z.infer<typeof configVersionSchema>;
export type ConfigPatchMessage = z.infer<typeof configPatchSchema>;
export type ConfigFullMessage = z.infer<typeof configFullSchema>;
export type ConfigRequestMessage = z.infer<typeof configRequestSchema>;
export type LinkMessage = z.infer<typeof linkMessageSchema>;
