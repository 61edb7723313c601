/* eslint-disable import-x/extensions, import-x/prefer-default-export -- a plain script that runs without a build */
/** Clients that keep their connections: the requests are written as prepared bytes, since their heads may be large. */
import { connect } from 'node:net';
import { split } from './net.mjs';

/** Returns the offset behind the answer at the start of `text`; undefined if it isn't complete. */
function findEnd(text) {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd).toLowerCase();
  const bodyStart = headEnd + 4;
  const length = /\r\ncontent-length: (\d+)/.exec(head);
  if (length !== null) {
    const end = bodyStart + Number(length[1]);
    return text.length >= end ? end : undefined;
  }
  const end = text.indexOf('\r\n0\r\n\r\n', bodyStart - 2);
  return end < 0 ? undefined : end + 7;
}

/** Opens connections to one router after the other, each for one client. */
export function createKeptClient() {
  let connection;

  function open(frontend) {
    const socket = connect(split(frontend));
    const opened = { socket, frontend, uses: 0, text: '', pending: undefined };
    function end(error) {
      if (connection === opened) connection = undefined;
      opened.pending?.({ error });
    }
    socket.on('data', (bytes) => {
      opened.text += bytes.toString('latin1');
      const answerEnd = findEnd(opened.text);
      if (answerEnd === undefined || opened.pending === undefined) return;
      const head = opened.text.slice(0, opened.text.indexOf('\r\n\r\n')).toLowerCase();
      if (head.includes('\r\nconnection: close')) {
        connection = undefined;
        socket.end();
      }
      opened.pending({ status: Number(opened.text.slice(9, 12)), complete: true });
      opened.text = '';
    });
    socket.on('error', (err) => end(err.code));
    socket.on('close', () => end('closed'));
    return opened;
  }

  /** Sends a request. Resolves with what the client saw; `isKept` if its connection had carried others. */
  function send(frontend, attemptId, bytes, deadlineMs) {
    if (connection !== undefined && connection.frontend !== frontend) {
      connection.socket.destroy();
      connection = undefined;
    }
    connection ??= open(frontend);
    const used = connection;
    const sentAtMs = Date.now();
    const isKept = used.uses > 0;
    used.uses += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        used.pending?.({ error: 'deadline' });
        used.socket.destroy();
        if (connection === used) connection = undefined;
      }, deadlineMs);
      used.pending = (outcome) => {
        used.pending = undefined;
        clearTimeout(timer);
        const begun = used.text.length > 0;
        resolve({ attemptId, sentAtMs, router: frontend, isKept, begun, ...outcome });
      };
      used.socket.write(bytes);
    });
  }

  return {
    send,
    close: () => connection?.socket.destroy(),
  };
}
