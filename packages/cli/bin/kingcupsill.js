#!/usr/bin/env node
// npm links the `bin` file on installation, before the compiled output exists, so this file has to be in the repository.
// eslint-disable-next-line import-x/extensions -- Node runs this file directly and needs the extension
import '../dist/bin/kingcupsill.js';
