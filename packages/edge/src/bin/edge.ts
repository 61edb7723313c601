#!/usr/bin/env node
/** Entry point of the `kingcupsill-edge` binary. The program is loaded after the signals are recorded. */
import { recordSignals } from '@kingcupsill/runtime/signals';

const signals = recordSignals();
void import('@kingcupsill/edge/run').then(({ runEdge }) => runEdge(signals));
