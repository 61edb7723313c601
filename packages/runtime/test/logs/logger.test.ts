import assert from 'node:assert/strict';
import { test } from 'node:test';
import VError from 'verror';
import { createLogger } from '../../src/index.js';

function createSample() {
  const lines: string[] = [];
  const logger = createLogger({
    process: 'sample',
    id: 'sample-1',
    incarnation: 'i1',
    write: (line) => lines.push(line),
  });
  const written = () => lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  return { logger, lines, written };
}

test('each line is one JSON object that begins with the fixed members', () => {
  const { logger, lines, written } = createSample();
  logger.info('listening', { port: 1, event: 'not this', text: 'two\nlines' });
  assert.equal(lines.length, 1);
  assert.match(lines[0]!, /^\{"time":"[^"]+Z","level":"info".*\}\n$/);
  const { time, ...rest } = written()[0]!;
  assert.ok(Math.abs(Date.now() - Date.parse(String(time))) < 60_000);
  const head = { level: 'info', process: 'sample', id: 'sample-1', incarnation: 'i1' };
  assert.deepEqual(rest, { ...head, event: 'listening', port: 1, text: 'two\nlines' });
});

test('the level can be changed, for this logger alone', () => {
  const { logger, written } = createSample();
  const other = createSample();
  logger.debug('unseen');
  logger.setLevel('debug');
  logger.debug('seen');
  logger.trace('unseen');
  other.logger.debug('unseen');
  assert.deepEqual(
    written().map(({ event }) => event),
    ['seen'],
  );
  assert.equal(logger.level(), 'debug');
  assert.deepEqual(other.lines, []);
});

test('errors come with their causes, and fields that are no JSON lose no line', () => {
  const { logger, written } = createSample();
  const circular: Record<string, unknown> = {};
  circular.self = circular;
  logger.error('failed', { err: new VError(new Error('disk'), 'write'), bytes: 1n });
  logger.error('odd', { circular });
  const [failed, odd] = written();
  assert.match((failed!.err as { stack: string }).stack, /write: disk[^]*caused by: Error: disk/);
  assert.equal(failed!.bytes, '1');
  assert.equal(odd!.event, 'odd');
});
