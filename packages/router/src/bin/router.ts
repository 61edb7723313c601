#!/usr/bin/env node
/** Entry point of the `kingcupsill-router` binary. The program is loaded after the signals are recorded. */
import { recordSignals } from '@kingcupsill/runtime/signals';

const signals = recordSignals();
void import('../run-router.js').then(({ runRouter }) => runRouter(signals));
