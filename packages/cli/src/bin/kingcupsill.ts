#!/usr/bin/env node
/** Operators' command line. */
import { execute } from '@oclif/core';

await execute({ dir: import.meta.url });
