/** Link over a connection that is replaced by another one to the same router when it may have gone silent. */
import type { DialedLink, DialLink } from './types.js';

interface Connection {
  dialed: DialedLink | undefined;
}

/** Opens the link. Its listener sees each connection as a link of its own, the second one from when it is open. */
export const dialReplaceableLink: DialLink = (ctx, target, role, listener, onEnded) => {
  let current: Connection = { dialed: undefined };
  let replacement: Connection | undefined;
  let isEnded = false;

  function dial(connection: Connection): void {
    connection.dialed = ctx.dial(
      ctx,
      target,
      role,
      {
        ...listener,
        onOpen(link) {
          if (connection === replacement) takeOver(connection);
          listener.onOpen(link);
        },
      },
      () => end(connection),
    );
  }

  function dialReplacement(): void {
    if (isEnded || replacement !== undefined || current.dialed?.isQuiet() !== true) return;
    replacement = { dialed: undefined };
    dial(replacement);
  }

  function takeOver(connection: Connection): void {
    const { dialed } = current;
    current = connection;
    replacement = undefined;
    dialed?.close();
    ctx.logger.info('peer-link-replaced', { router: target.name, address: target.address });
  }

  function dropReplacement(): void {
    const dropped = replacement;
    replacement = undefined;
    dropped?.dialed?.close();
  }

  function end(connection: Connection): void {
    if (connection === replacement) replacement = undefined;
    if (connection !== current) return;
    isEnded = true;
    dropReplacement();
    onEnded();
  }

  dial(current);

  return {
    checkLiveness() {
      current.dialed?.checkLiveness();
      // What has arrived while this process was paused is read first.
      if (current.dialed?.isQuiet() === true) setImmediate(dialReplacement);
      else dropReplacement();
      replacement?.dialed?.checkLiveness();
    },
    isQuiet: () => current.dialed?.isQuiet() === true,
    close() {
      isEnded = true;
      dropReplacement();
      current.dialed?.close();
    },
  };
};
