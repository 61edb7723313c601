#!/usr/bin/env node
/** Entry point of the `kingcupsill-sidecar` binary. The program is loaded after the signals are recorded. */
import { recordSignals } from '@kingcupsill/runtime/signals';

const signals = recordSignals();
void import('../run-sidecar.js').then(({ runSidecar }) => runSidecar(signals));
