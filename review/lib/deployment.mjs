/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-await-in-loop, no-restricted-syntax -- off for .ts files too */
/** A small deployment: store, engines and machines, ended with the case. */
import { need } from './case.mjs';
import { MACHINES, ZONES } from './configuration.mjs';
import { startEngine } from './engine.mjs';
import { createPlatform } from './platform.mjs';
import { startStore } from './store.mjs';

/** `engines` are options of `startEngine` with `slots`. Resolves when all machines are ready. */
export async function deploy({ note, onEnd, config, engines, machines = MACHINES, onStoreCall }) {
  const store = await startStore('127.0.0.1', onStoreCall);
  onEnd(() => store.close());
  const started = [];
  for (const { slots, ...options } of engines) {
    const engine = await startEngine({ host: '127.0.0.1', zone: 'kgn-a', note, ...options });
    onEnd(() => engine.close());
    store.put('servers', engine.id, engine.entry(slots));
    started.push(engine);
  }
  store.put('config', 'main', config);
  const platform = await createPlatform(store.address, note);
  onEnd(() => platform.close());
  for (const [name, zone] of machines) await platform.addMachine(name, zone, ZONES);
  need(await platform.waitUntilReady(), 'not all machines are ready');
  note(`${machines.length} machines are ready`);
  return { store, engines: started, platform };
}
