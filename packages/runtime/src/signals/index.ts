export { recordSignals } from './record-signals.js';
export type { HandledSignal, ReceivedSignals } from './record-signals.js';
