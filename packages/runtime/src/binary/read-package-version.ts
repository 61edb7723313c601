/** Version of the package that a module belongs to. */
import { createRequire } from 'node:module';
import VError from 'verror';

function loadPackage(directory: URL): { version?: string } | undefined {
  try {
    return createRequire(directory)('./package.json') as { version?: string };
  } catch {
    return undefined;
  }
}

/** Reads the version from the nearest `package.json` above a module, given its `import.meta.url`. */
export function readPackageVersion(moduleUrl: string): string {
  let directory = new URL('.', moduleUrl);
  for (;;) {
    const version = loadPackage(directory)?.version;
    if (version !== undefined) return version;
    const parent = new URL('..', directory);
    if (parent.href === directory.href) throw new VError('no package.json above %s', moduleUrl);
    directory = parent;
  }
}
