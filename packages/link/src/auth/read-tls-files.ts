/** Loading of the PEM files for mutual TLS. */
import { readFile } from 'node:fs/promises';
import VError from 'verror';
import type { LinkTls } from '../types.js';

/** Paths of PEM files, as in the `[link]` settings. */
export interface TlsFiles {
  tlsKeyFile?: string;
  tlsCertFile?: string;
  tlsCaFile?: string;
}

async function readPem(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    throw new VError({ cause: err as Error }, "can't read TLS file %s", file);
  }
}

/** Reads key, certificate and CA. Resolves with undefined unless all three paths are set; rejects if a file can't be read. */
export async function readTlsFiles(files: TlsFiles): Promise<LinkTls | undefined> {
  const { tlsKeyFile, tlsCertFile, tlsCaFile } = files;
  if (tlsKeyFile === undefined || tlsCertFile === undefined || tlsCaFile === undefined) {
    return undefined;
  }
  const [key, cert, ca] = await Promise.all([tlsKeyFile, tlsCertFile, tlsCaFile].map(readPem));
  return { key: key!, cert: cert!, ca: ca! };
}
