/** Version of the package that contains a module. */
import { createRequire } from 'node:module';
import VError from 'verror';

function loadPackageJson(directory: URL): { version?: string } | undefined {
  try {
    return createRequire(directory)('./package.json') as { version?: string };
  } catch {
    return undefined;
  }
}

/** Returns the version in the nearest `package.json` above a module, given its `import.meta.url`. Throws if there is none. */
export function readPackageVersion(moduleUrl: string): string {
  let directory = new URL('.', moduleUrl);
  for (;;) {
    const version = loadPackageJson(directory)?.version;
    if (version !== undefined) return version;
    const parent = new URL('..', directory);
    if (parent.href === directory.href)
      throw new VError('no package.json with a version found above %s', moduleUrl);
    directory = parent;
  }
}
