/** Guards against callers that are refused while others only keep connections, and against descriptors that callers never give back. */
import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { createConnectionTable } from '../../src/callers/connection-table.js';

const MAX_SERVED = 2;

function createTable() {
  let nowMs = 0;
  const table = createConnectionTable(() => nowMs, MAX_SERVED);
  return {
    table,
    passTime(ms: number): void {
      nowMs += ms;
    },
    /** Adds a connection that records what the router does with it. */
    connect() {
      const calls: string[] = [];
      const socket = Object.assign(new EventEmitter(), {
        end: () => calls.push('end'),
        destroy: () => calls.push('destroy'),
      }) as unknown as Socket;
      table.add(socket);
      return { socket, calls };
    },
  };
}

test('the connection that has been idle for longest makes room, one with a request does not', () => {
  const { table, passTime, connect } = createTable();
  const [busy, idle] = [connect(), connect()];
  table.requestStarted(busy.socket, {} as IncomingMessage);
  const early = connect();
  assert.equal(table.isServed(early.socket), false);
  early.socket.emit('close');
  passTime(1000);
  const late = connect();
  assert.deepEqual([idle.calls, busy.calls], [['end'], []]);
  assert.ok(table.isServed(late.socket));
  table.requestStarted(late.socket, {} as IncomingMessage);
  assert.equal(table.isServed(connect().socket), false);
  assert.equal(table.totals().excess, 2);
});

test('a connection beyond the limit is served if another closes before its first request', () => {
  const { table, connect } = createTable();
  const [first] = [connect(), connect()];
  const third = connect();
  first.socket.emit('close');
  assert.ok(table.isServed(third.socket));
});

test('a connection that its caller does not close is destroyed', () => {
  const { table, passTime, connect } = createTable();
  const { socket, calls } = connect();
  passTime(500);
  table.end(socket);
  passTime(2000);
  table.closeStalled(30_000);
  assert.deepEqual(calls, ['end']);
  passTime(1);
  table.closeStalled(30_000);
  assert.deepEqual(calls, ['end', 'destroy']);
});

test('an idle connection is closed at once, so that a request on its way is not read', () => {
  const { table, passTime, connect } = createTable();
  const [{ calls }, busy] = [connect(), connect()];
  table.requestStarted(busy.socket, {} as IncomingMessage);
  passTime(500);
  table.closeIdle(500);
  assert.deepEqual([calls, busy.calls], [['destroy'], []]);
});
