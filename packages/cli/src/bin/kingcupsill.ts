#!/usr/bin/env node
/** Entry point of the operators' command line. */
import { execute } from '@oclif/core';

await execute({ dir: import.meta.url });
