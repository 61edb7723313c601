/** Type guards that route link messages and events to the reducers. */
import type { ConfigMessage } from '../config/index.js';
import type { ExchangeMessage } from '../fairness/index.js';
import type { LinkMessage } from '../protocol/index.js';
import type { CommonProcessEvent, ConfigStoreEvent } from './types.js';

const CONFIG_MESSAGE_KINDS = new Set([
  'config-version',
  'config-patch',
  'config-full',
  'config-request',
]);
const EXCHANGE_MESSAGE_KINDS = new Set(['totals-report', 'zone-totals', 'spread-totals']);
const CONFIG_STORE_EVENT_KINDS = new Set(['config-loaded', 'patches-loaded', 'store-failed']);
const COMMON_EVENT_KINDS = new Set([
  'link-opened',
  'link-closed',
  'message',
  'routers-listed',
  'tick',
]);

/** Returns whether the message belongs to the configuration distribution. */
export function isConfigMessage(message: LinkMessage): message is ConfigMessage {
  return CONFIG_MESSAGE_KINDS.has(message.kind);
}

/** Returns whether the message belongs to the exchange of service totals. */
export function isExchangeMessage(message: LinkMessage): message is ExchangeMessage {
  return EXCHANGE_MESSAGE_KINDS.has(message.kind);
}

/** Returns whether the event is the result of a configuration call to the object service. */
export function isConfigStoreEvent(event: { kind: string }): event is ConfigStoreEvent {
  return CONFIG_STORE_EVENT_KINDS.has(event.kind);
}

/** Returns whether the event is common to router and sidecar processes. */
export function isCommonProcessEvent(event: { kind: string }): event is CommonProcessEvent {
  return COMMON_EVENT_KINDS.has(event.kind);
}
