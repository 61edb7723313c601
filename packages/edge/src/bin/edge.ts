#!/usr/bin/env node
/** Entry point of the `kingcupsill-edge` binary. The program is loaded after the signals are recorded. */
import { recordSignals } from '@kingcupsill/runtime/signals';

const signals = recordSignals();
// The deploy file requests reports on SIGHUP, since Node then handles the signal before it loads this file. None is written.
process.report.reportOnSignal = false;
void import('@kingcupsill/edge/run').then(({ runEdge }) => runEdge(signals));
