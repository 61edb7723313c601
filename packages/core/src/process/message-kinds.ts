/** Tells which reducer a link message or an event is for. */
import type { ConfigMessage } from '../config/index.js';
import type { ExchangeMessage } from '../fairness/index.js';
import type { LinkMessage } from '../protocol/index.js';
import type { CommonProcessEvent, ConfigStoreEvent } from './types.js';

const CONFIG_KINDS = new Set(['config-version', 'config-patch', 'config-full', 'config-request']);
const EXCHANGE_KINDS = new Set(['totals-report', 'zone-totals', 'spread-totals']);
const STORE_KINDS = new Set(['config-loaded', 'patches-loaded', 'store-failed']);
const FLEET_KINDS = new Set(['link-opened', 'link-closed', 'message', 'routers-listed', 'tick']);

/** Whether the message is about the configuration. */
export function isConfigMessage(message: LinkMessage): message is ConfigMessage {
  return CONFIG_KINDS.has(message.kind);
}

/** Whether the message is part of the exchange of service totals. */
export function isExchangeMessage(message: LinkMessage): message is ExchangeMessage {
  return EXCHANGE_KINDS.has(message.kind);
}

/** Whether the event is the object service's answer about the configuration. */
export function isConfigStoreEvent(event: { kind: string }): event is ConfigStoreEvent {
  return STORE_KINDS.has(event.kind);
}

/** Whether the event is one that both kinds of process have. */
export function isCommonProcessEvent(event: { kind: string }): event is CommonProcessEvent {
  return FLEET_KINDS.has(event.kind);
}
