/**
 * Schemas and types of the messages on links between processes of the fleet. Each message has a `kind`. Service is measured as
 * slot time in milliseconds. Sidecars have links to routers only; routers have links to sidecars and other routers.
 */
import { z } from 'zod';

/** Version of the link protocol; peers with a different version are rejected. */
export const PROTOCOL_VERSION = 1;

/** Role of a process on a link. */
export const Role = {
  Router: 'router',
  Sidecar: 'sidecar',
} as const;
export type Role = (typeof Role)[keyof typeof Role];

const idSchema = z.string().min(1).max(200);
const finiteNumberSchema = z.number();
const countSchema = z.number().int().nonnegative();

/** First message in both directions: identity and location of the sender. */
export const helloSchema = z.object({
  kind: z.literal('hello'),
  protocol: z.number().int(),
  role: z.enum(['router', 'sidecar']),
  /** Instance id, stable across restarts. */
  id: idSchema,
  /** Random id of this process incarnation. */
  incarnation: idSchema,
  zone: idSchema,
  region: idSchema,
  configVersion: countSchema,
  /** Sidecars only: base URL of the attempts interface, backend server and pool. */
  dataUrl: z.string().optional(),
  backend: z.string().optional(),
  pool: z.string().optional(),
  /** Routers only: `host:port` of the link listener. */
  address: z.string().optional(),
});

/** Queued requests of one client account at a router. */
export const demandEntrySchema = z.object({
  account: idSchema,
  /** Start tag of the account's next request at the router. */
  virtualTimeMs: finiteNumberSchema,
  /** Number of queued requests; 0 removes the account. */
  waiting: countSchema,
  /** Estimated slot time of the request at the head of the queue. */
  estimateMs: finiteNumberSchema,
  share: z.number().positive(),
});

/** Router to sidecar: accounts with queued requests for the sidecar's pool. */
export const demandSchema = z.object({
  kind: z.literal('demand'),
  /** True if the entries replace the whole demand, false if they update it. */
  full: z.boolean(),
  /** Virtual time of the pool as known to the router. */
  poolVirtualTimeMs: finiteNumberSchema,
  entries: z.array(demandEntrySchema),
});

/** Sidecar to router: grant of a slot to the account. */
export const grantSchema = z.object({
  kind: z.literal('grant'),
  grant: countSchema,
  account: idSchema,
  /** Lifetime of the grant from when it was sent. */
  ttlMs: countSchema,
  poolVirtualTimeMs: finiteNumberSchema,
});

/** Router to sidecar: the grant is returned unused. */
export const declineSchema = z.object({
  kind: z.literal('decline'),
  grant: countSchema,
});

/** Sidecar to router: number of requests that the router may send without a grant; replaces the previous number. */
export const creditsSchema = z.object({
  kind: z.literal('credits'),
  credits: countSchema,
  poolVirtualTimeMs: finiteNumberSchema,
});

/** Sidecar to router: corrects the charge of an attempt whose router is no longer linked. */
export const settleSchema = z.object({
  kind: z.literal('settle'),
  attempt: idSchema,
  pool: idSchema,
  account: idSchema,
  chargeMs: finiteNumberSchema,
  refundMs: finiteNumberSchema,
});

/** Any process to its peers: whether it stops accepting new work. */
export const leavingSchema = z.object({
  kind: z.literal('leaving'),
  leaving: z.boolean(),
});

/** Router to its peers: routers known to the sender. */
export const routersSchema = z.object({
  kind: z.literal('routers'),
  routers: z.array(
    z.object({ id: idSchema, address: z.string(), zone: idSchema, region: idSchema }),
  ),
});

/** Numeric key for a (pool, account) pair or a pool between one sender and one receiver; sent until acknowledged. */
export const exchangeKeySchema = z.object({
  key: countSchema,
  pool: idSchema,
  /** Empty in the key of a pool. */
  account: z.string().max(200),
  /** Incarnation of the home router that counted the totals; empty if it is the sender. */
  writer: z.string().max(250),
});

/**
 * Encoded grow-only number of whole milliseconds. Positive: the number itself. 0: equal to the number last sent.
 * Negative, `-1 - n`: the lowest number with the low 15 bits `n` that is not below the number last sent.
 */
const growOnlyNumberSchema = z.number().int();

/** Service totals of one (pool, account) pair. */
export const accountTotalSchema = z.object({
  key: countSchema,
  chargedMs: growOnlyNumberSchema,
  refundedMs: growOnlyNumberSchema,
  /** Whether the account has queued requests. */
  waiting: z.boolean(),
});

/** Lift of an account's virtual time, sent until acknowledged. */
export const accountLiftSchema = z.object({
  key: countSchema,
  /** Incremented with each change of the account's share; lifts of one epoch merge by maximum. */
  epoch: countSchema,
  liftMs: finiteNumberSchema,
  /** Share of the account in this epoch. */
  share: z.number().positive(),
});

/** Virtual time of one pool; values merge by maximum. */
export const poolTimeSchema = z.object({ key: countSchema, virtualTimeMs: growOnlyNumberSchema });

/** Fields common to the three exchange messages. All are required because optional fields take more bytes when encoded. */
const exchangeFields = {
  /** Hash of the sender's incarnation; 0 once the receiver has acknowledged it. */
  run: countSchema,
  /** Hash of the receiver's incarnation; 0 if unknown to the sender or once acknowledged. */
  to: countSchema,
  /** Hash of both incarnations that replaces `run` and `to`; 0 while those are sent. */
  session: countSchema,
  /** Sequence number of this message from sender to receiver; 0 if no acknowledgement is needed. */
  seq: countSchema,
  /** Sequence numbers received since the sender's last message. */
  acks: z.array(countSchema),
  keys: z.array(exchangeKeySchema),
  totals: z.array(accountTotalSchema),
  lifts: z.array(accountLiftSchema),
  pools: z.array(poolTimeSchema),
};

/**
 * Router to the home router of accounts in its zone: the grow-only service totals that this incarnation of the router reported to
 * the incarnation `to` of the home router, and whether accounts have queued requests.
 */
export const totalsReportSchema = z.object({ kind: z.literal('totals-report'), ...exchangeFields });

/** Home router to the other home routers of the same accounts: totals that the routers of its zone reported to its incarnation. */
export const zoneTotalsSchema = z.object({ kind: z.literal('zone-totals'), ...exchangeFields });

/** Home router to a router of its zone: totals of the fleet, excluding those that the receiver reported to the sender's incarnation. */
export const spreadTotalsSchema = z.object({ kind: z.literal('spread-totals'), ...exchangeFields });

/** Configuration version in force at the sender. */
export const configVersionSchema = z.object({
  kind: z.literal('config-version'),
  version: countSchema,
});

/** One accepted JSON merge patch from `version - 1` to `version`. */
export const configPatchSchema = z.object({
  kind: z.literal('config-patch'),
  version: countSchema,
  patch: z.unknown(),
});

/** The whole configuration, for a peer that lacks more patches than the sender keeps. */
export const configFullSchema = z.object({
  kind: z.literal('config-full'),
  config: z.unknown(),
});

/** Request for all patches after `version`. */
export const configRequestSchema = z.object({
  kind: z.literal('config-request'),
  version: countSchema,
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
