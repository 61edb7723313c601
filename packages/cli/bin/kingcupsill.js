#!/usr/bin/env node
// npm links commands before anything is compiled, so the linked file must stand in the repository.
// eslint-disable-next-line import-x/extensions -- a file that is run, in Node's own form
import '../dist/bin/kingcupsill.js';
