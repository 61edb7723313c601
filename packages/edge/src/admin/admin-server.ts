/** HTTP server for operators: metrics and the state dump. */
import { getOwn } from '@kingcupsill/core/collections';
import type { ServerResponse } from 'node:http';
import { describeState } from '@kingcupsill/core/direct';
import { closeServer } from '@kingcupsill/runtime';
import type { Closable } from '../closable.js';
import { listenWhenFree } from '../listen-when-free.js';
import { parseAddress } from '../settings.js';
import { createSideServer } from '../side-server.js';
import type { EdgeContext } from '../context.js';
import type { EdgeParts } from '../types.js';

interface Page {
  type: string;
  text: string;
}

function writePage(res: ServerResponse, status: number, { type, text }: Page): void {
  res.writeHead(status, { 'Content-Type': type, 'Content-Length': Buffer.byteLength(text) });
  res.end(text);
}

const NOT_FOUND: Page = { type: 'application/json', text: '{"code":"not_found"}' };

/** Starts the server on the address in the settings. */
export async function createAdminServer(
  ctx: EdgeContext,
  { state, connectionLimits }: Pick<EdgeParts, 'state' | 'connectionLimits'>,
): Promise<Closable> {
  const pages: Record<string, () => Page | Promise<Page>> = {
    '/metrics': async () => ({
      type: ctx.registry.contentType,
      text: await ctx.registry.metrics(),
    }),
    '/debug/state': () => ({
      type: 'application/json',
      text: JSON.stringify(describeState(state, ctx.clock())),
    }),
  };

  async function handle(url: string | undefined, res: ServerResponse): Promise<void> {
    const page = getOwn(pages, url ?? '');
    if (page === undefined) writePage(res, 404, NOT_FOUND);
    else writePage(res, 200, await page());
  }

  const sideOptions = {
    listener: 'admin',
    maxConnections: connectionLimits.side,
    logger: ctx.logger,
  };
  const server = createSideServer(sideOptions, (req, res) => {
    handle(req.url, res).catch((err: unknown) => {
      ctx.logger.error('admin-call-failed', { url: req.url, err });
      res.destroy();
    });
  });
  await listenWhenFree(server, {
    ...parseAddress(ctx.settings().admin.address),
    listener: 'admin',
    isRequired: false,
    logger: ctx.logger,
    stopping: ctx.stopping,
  });
  return { close: () => closeServer(server) };
}
